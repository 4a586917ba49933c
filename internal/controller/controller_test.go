package controller

import (
	"context"
	"net"
	"strings"
	"testing"

	"flintspread/internal/endpoints"
	"flintspread/internal/releases"
)

// A controller without saved state sends complete assignments as soon as it has received the endpoint list and the
// release, and includes the list only for routers that do not have it.
func TestFirstAssignmentWithoutSavedState(t *testing.T) {
	services := &fakeServices{release: releases.Update{Version: 4, Build: 2, Stage: 1, Phase: "on-trial", CanaryLimit: 0.5, AgeSeconds: 3}}
	settings := testSettings(t, t.TempDir(), services.serve(t), 1)
	store, _, _, err := OpenStateStore(settings.StateDir)
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, store)
	controller := newController(settings, discardLog(), store)
	controller.restore(9, SavedState{})
	controller.acceptReport(canaryFailureReport(1))
	if assignment := controller.nextAssignment("e", 0); assignment.StageNo != 0 || assignment.HasList || assignment.Epoch != 9 || assignment.Echo != 1 || assignment.Share != 0 {
		t.Error("before any update:", assignment)
	}
	if err := controller.applyReleaseUpdate(&services.release); err != nil {
		t.Fatal(err)
	}
	if err := controller.applyEndpointUpdate(&endpoints.Update{Version: 7, Full: true, Endpoints: []endpoints.Endpoint{{ID: 1, Addr: "127.0.0.1:1", State: "ready"}}}); err != nil {
		t.Fatal(err)
	}
	if assignment := controller.nextAssignment("e", 0); assignment.StageNo != 4 || assignment.Cap != 0.5 || assignment.Stage != 1 || !assignment.HasList || len(assignment.Units) != 1 {
		t.Error("router without the list:", assignment)
	}
	if assignment := controller.nextAssignment("e", 7); assignment.HasList || assignment.ListNo != 7 {
		t.Error("router with the list:", assignment)
	}
	outdated := services.release
	outdated.Version, outdated.CanaryLimit = 3, 1
	if err := controller.applyReleaseUpdate(&outdated); err != nil || controller.nextAssignment("e", 7).Cap != 0.5 {
		t.Error("an outdated release update raised the canary traffic limit, or failed:", err)
	}
	if err := controller.applyReleaseUpdate(&releases.Update{Version: 9, Phase: "later"}); err == nil {
		t.Error("accepted a release update with an unknown phase")
	}
}

// A metrics address that is in use results in an error that names the setting.
func TestMetricsAddressInUse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	settings := testSettings(t, t.TempDir(), "http://127.0.0.1:1", 1)
	settings.MetricsAddress = listener.Addr().String()
	if err := Run(context.Background(), settings, discardLog()); err == nil || !strings.Contains(err.Error(), ":admin") {
		t.Error(err)
	}
}

// Guards against a draining endpoint that gets traffic again: a stream of the endpoint list that was opened anew, at a replica
// that was behind, told an older full list, and that replaced the controller's.
func TestOutdatedListFromStream(t *testing.T) {
	settings, store := versionedSettings(t, 5)
	controller := startVersioned(t, settings, store)
	defer mustClose(t, controller.configVersions.store)
	list := func(version uint64, state string) *endpoints.Update {
		return &endpoints.Update{Version: version, Full: true, Endpoints: []endpoints.Endpoint{{ID: 1, Addr: "127.0.0.1:1", State: state}}}
	}
	if err := controller.applyEndpointUpdate(list(5, endpoints.StateDraining)); err != nil {
		t.Fatal(err)
	}
	if err := controller.applyEndpointUpdate(list(4, endpoints.StateReady)); err == nil {
		t.Error("an older full list was accepted")
	}
	if endpoint, _ := controller.endpointList.Get(1); endpoint.State != endpoints.StateDraining {
		t.Errorf("endpoint 1 is %s, want draining", endpoint.State)
	}
}
