package xds

import (
	"fmt"
	"net"
	"strconv"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"flintspread/internal/endpoints"
)

// metadataKey is under which an endpoint's metadata holds what the published form has no field for.
const metadataKey = "flintspread"

// EndpointUpdate reads endpoint assignments as a full list. An endpoint's metadata under "flintspread" gives id and build, and may
// give zone, cell and start; its health tells ready from draining, and one that is unhealthy or unknown to fail is left out,
// which makes it gone.
func EndpointUpdate(r *discovery.DiscoveryResponse) (*endpoints.Update, error) {
	version, err := versionNumber(r.VersionInfo)
	if err != nil {
		return nil, err
	}
	line := &endpoints.Update{Version: version, Full: true}
	for i, any := range r.Resources {
		var a endpoint.ClusterLoadAssignment
		if any.TypeUrl != TypeUnits {
			return nil, fmt.Errorf("resource %d is of type %q", i, any.TypeUrl)
		}
		if err := proto.Unmarshal(any.Value, &a); err != nil {
			return nil, fmt.Errorf("resource %d: %w", i, err)
		}
		for _, locality := range a.Endpoints {
			for j, e := range locality.LbEndpoints {
				u, err := endpointOf(e)
				if err != nil {
					return nil, fmt.Errorf("cluster %q, endpoint %d: %w", a.ClusterName, j, err)
				}
				if u.State != "gone" {
					line.Endpoints = append(line.Endpoints, u)
				}
			}
		}
	}
	return line, line.Check()
}

func endpointOf(e *endpoint.LbEndpoint) (u endpoints.Endpoint, err error) {
	addr := e.GetEndpoint().GetAddress().GetSocketAddress()
	if addr == nil {
		return u, fmt.Errorf("no socket address")
	}
	u.Addr = net.JoinHostPort(addr.GetAddress(), strconv.Itoa(int(addr.GetPortValue())))
	switch e.HealthStatus {
	case core.HealthStatus_UNKNOWN, core.HealthStatus_HEALTHY, core.HealthStatus_DEGRADED:
		u.State = "ready" // whether it serves well is seen by serving
	case core.HealthStatus_DRAINING:
		u.State = "draining"
	default:
		u.State = "gone"
	}
	if w := e.GetLoadBalancingWeight(); w != nil {
		u.Weight = float64(w.Value)
	}
	fields := e.GetMetadata().GetFilterMetadata()[metadataKey].GetFields()
	get := func(name string, most float64, must bool) float64 {
		v, ok := fields[name]
		n := v.GetNumberValue()
		if err == nil && (must && !ok || !(n >= 0 && n <= most)) {
			err = fmt.Errorf("metadata %q: %s: %v is no number from 0 to %.0f", metadataKey, name, v, most)
		}
		return n
	}
	u.ID, u.Build = uint32(get("id", 1<<32-1, true)), int(get("build", 1<<16-1, true))
	u.Zone, u.Cell = uint16(get("zone", 1<<16-1, false)), uint16(get("cell", 1<<16-1, false))
	u.StartedAt = get("start", 1e11, false)
	return u, err
}
