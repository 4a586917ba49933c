package xds

import (
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"

	"flintspread/internal/endpoints"
)

// metadataKey is the filter metadata key of endpoint attributes for which xDS has no field.
const metadataKey = "flintspread"

// maxStartedAt is the largest accepted start of an endpoint, in seconds since 1970. A larger number is in another unit,
// such as milliseconds, by mistake.
const maxStartedAt = 1e11

// EndpointUpdate converts endpoint assignments to a full endpoint list. The endpoint metadata under "flintspread" must
// contain id and build, and may contain zone, cell and start. The health status decides between ready and draining. An
// unhealthy endpoint is omitted, which removes it from the list.
func EndpointUpdate(response *discovery.DiscoveryResponse) (*endpoints.Update, error) {
	version, err := versionNumber(response.VersionInfo)
	if err != nil {
		return nil, err
	}
	update := &endpoints.Update{Version: version, Full: true}
	for i, resource := range response.Resources {
		var assignment endpoint.ClusterLoadAssignment
		if resource.TypeUrl != TypeEndpoints {
			return nil, fmt.Errorf("resource %d is of type %q", i, resource.TypeUrl)
		}
		if err := proto.Unmarshal(resource.Value, &assignment); err != nil {
			return nil, fmt.Errorf("resource %d: %w", i, err)
		}
		if err := appendEndpoints(update, &assignment); err != nil {
			return nil, err
		}
	}
	return update, update.Check()
}

// appendEndpoints appends the endpoints of one cluster to update, except those that are gone.
func appendEndpoints(update *endpoints.Update, assignment *endpoint.ClusterLoadAssignment) error {
	for _, locality := range assignment.Endpoints {
		for i, lbEndpoint := range locality.LbEndpoints {
			listed, err := endpointOf(lbEndpoint)
			if err != nil {
				return fmt.Errorf("cluster %q, endpoint %d: %w", assignment.ClusterName, i, err)
			}
			if listed.State != endpoints.StateGone {
				update.Endpoints = append(update.Endpoints, listed)
			}
		}
	}
	return nil
}

// endpointOf converts one endpoint, whose state may be gone.
func endpointOf(lbEndpoint *endpoint.LbEndpoint) (e endpoints.Endpoint, err error) {
	address := lbEndpoint.GetEndpoint().GetAddress().GetSocketAddress()
	if address == nil {
		return e, errors.New("no socket address")
	}
	e.Addr = net.JoinHostPort(address.GetAddress(), strconv.Itoa(int(address.GetPortValue())))
	e.State = stateOf(lbEndpoint.HealthStatus)
	if weight := lbEndpoint.GetLoadBalancingWeight(); weight != nil {
		e.Weight = float64(weight.Value)
	}
	metadata := metadataReader{fields: lbEndpoint.GetMetadata().GetFilterMetadata()[metadataKey].GetFields()}
	e.ID = uint32(metadata.required("id", math.MaxUint32))
	e.Build = int(metadata.required("build", math.MaxUint16))
	e.Zone = uint16(metadata.optional("zone", math.MaxUint16))
	e.Cell = uint16(metadata.optional("cell", math.MaxUint16))
	e.StartedAt = metadata.optional("start", maxStartedAt)
	return e, metadata.err
}

// stateOf maps a health status of xDS to an endpoint state. Degraded and unknown endpoints count as ready, because the
// router's own outlier detection judges them.
func stateOf(health core.HealthStatus) string {
	switch health {
	case core.HealthStatus_UNKNOWN, core.HealthStatus_HEALTHY, core.HealthStatus_DEGRADED:
		return endpoints.StateReady
	case core.HealthStatus_DRAINING:
		return endpoints.StateDraining
	default:
		return endpoints.StateGone
	}
}

// metadataReader reads numbers from an endpoint's metadata and keeps the first error.
type metadataReader struct {
	fields map[string]*structpb.Value
	err    error
}

// required returns a number from 0 to limit, which must be present.
func (m *metadataReader) required(name string, limit float64) float64 {
	value, found := m.fields[name]
	if !found {
		m.fail(name, value, limit)
	}
	return m.number(name, value, limit)
}

// optional returns a number from 0 to limit, or 0 if it is missing.
func (m *metadataReader) optional(name string, limit float64) float64 {
	return m.number(name, m.fields[name], limit)
}

// number returns a value from 0 to limit; a value that is not a number counts as 0.
func (m *metadataReader) number(name string, value *structpb.Value, limit float64) float64 {
	number := value.GetNumberValue()
	if !(number >= 0 && number <= limit) { // also rejects NaN
		m.fail(name, value, limit)
	}
	return number
}

// fail records an error unless there is one already.
func (m *metadataReader) fail(name string, value *structpb.Value, limit float64) {
	if m.err == nil {
		m.err = fmt.Errorf("metadata %q: %s: %v is no number from 0 to %.0f", metadataKey, name, value, limit)
	}
}
