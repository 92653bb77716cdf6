//! Values that are kept apart for each endpoint, as what holds for the workers of one says nothing about
//! those of another.

/// One value for each endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Endpoints<T> {
    /// Sorted by endpoint; few.
    list: Vec<(String, T)>,
}

impl<T: Default> Endpoints<T> {
    fn position(&self, endpoint: &str) -> Result<usize, usize> {
        self.list.binary_search_by(|(name, _)| name.as_str().cmp(endpoint))
    }

    /// Returns the value of an endpoint, if it has one.
    pub(super) fn get(&self, endpoint: &str) -> Option<&T> {
        self.position(endpoint).ok().map(|at| &self.list[at].1)
    }

    /// Returns the value of an endpoint, which gets the default if it has none.
    pub(super) fn entry(&mut self, endpoint: &str) -> &mut T {
        let at = self.position(endpoint).unwrap_or_else(|at| {
            self.list.insert(at, (endpoint.to_string(), T::default()));
            at
        });
        &mut self.list[at].1
    }

    /// Lists the endpoints with their values.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&str, &mut T)> {
        self.list.iter_mut().map(|(name, value)| (name.as_str(), value))
    }

    pub(super) fn clear(&mut self) {
        self.list.clear();
    }
}
