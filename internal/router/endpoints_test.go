package router

import (
	"testing"

	"flintspread/internal/endpoints"
)

// Guards against a draining endpoint that gets traffic again: a stream of the endpoint list that was opened anew, at a replica
// that was behind, told an older full list, and that replaced the one in force.
func TestOutdatedListFromStream(t *testing.T) {
	c, _ := newControllerConfig(t)
	r := c.versions.router
	list := func(version uint64, state string) *endpoints.Update {
		return &endpoints.Update{Version: version, Full: true, Endpoints: []endpoints.Endpoint{{ID: 1, Addr: "127.0.0.1:1", State: state}}}
	}
	if err := r.onEndpointMessage(list(5, endpoints.StateDraining)); err != nil {
		t.Fatal(err)
	}
	if err := r.onEndpointMessage(list(4, endpoints.StateReady)); err == nil {
		t.Error("an older full list was accepted")
	}
	if endpoint, _ := r.endpointList.Get(1); r.endpointList.Version != 5 || endpoint.State != endpoints.StateDraining {
		t.Errorf("version %d, endpoint 1 %s; want 5 and draining", r.endpointList.Version, endpoint.State)
	}
	if err := r.onEndpointMessage(list(6, endpoints.StateReady)); err != nil {
		t.Error(err)
	}
}
