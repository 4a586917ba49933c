package router

import "flintspread/internal/endpoints"

// loadEndpoints applies the endpoint list that was saved last. If the file cannot be read, the error is logged and the
// router starts with an empty list.
func (r *Router) loadEndpoints() {
	list, err := endpoints.Load(r.endpointFile)
	if err != nil {
		r.log.Error("failed to load the saved endpoint list", "error", err)
	}
	r.endpointList = *list
	if list.Len() == 0 {
		return
	}
	update := list.FullUpdate(wallClock())
	r.log.Info("saved endpoint list applied", "endpoints", list.Len(), "version", list.Version, "age_seconds", update.AgeSeconds)
	r.proxy.ApplyEndpoints(update)
}

// onEndpointMessage handles a message of the endpoint list's stream.
func (r *Router) onEndpointMessage(update *endpoints.Update) error {
	if err := r.endpointGuard.Check(update, r.endpointList.Version, r.proxy.Now()); err != nil {
		return err
	}
	return r.applyEndpointUpdate(update)
}

// applyEndpointUpdate applies an update to the endpoint list and saves the list. Calls must not overlap: a router has
// one caller, which is the endpoint watch, the control services (under configVersions.mu) or the controller client's
// goroutine.
func (r *Router) applyEndpointUpdate(update *endpoints.Update) error {
	if err := update.Check(); err != nil {
		return err
	}
	changes, err := r.endpointList.Apply(update, wallClock())
	if err != nil {
		return err
	}
	r.proxy.ApplyEndpoints(changes)
	if len(changes.Endpoints) > 0 {
		if err := r.endpointList.Save(r.endpointFile); err != nil { // serving continues without the disk
			r.log.Error("failed to save the endpoint list", "error", err)
		}
	}
	return nil
}
