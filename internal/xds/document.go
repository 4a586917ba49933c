package xds

import (
	"errors"
	"fmt"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"flintspread/internal/config"
	"flintspread/internal/configstate"
	"flintspread/internal/xds/xdspb"
)

// ReadDocument reads the single document of a response as a configuration version for a router group, with the checks
// that a settings file gets. The service receives the error as the reason of the NACK.
func ReadDocument(response *discovery.DiscoveryResponse, routerGroup string) (*configstate.Version, error) {
	if len(response.Resources) != 1 {
		return nil, fmt.Errorf("%d documents; one is wanted", len(response.Resources))
	}
	if typeURL := response.Resources[0].TypeUrl; typeURL != TypeDocument {
		return nil, fmt.Errorf("a resource of type %q", typeURL)
	}
	var document xdspb.Document
	if err := proto.Unmarshal(response.Resources[0].Value, &document); err != nil {
		return nil, err
	}
	if document.Name != routerGroup {
		return nil, fmt.Errorf("a document for %q", document.Name)
	}
	if document.Number == 0 {
		return nil, errors.New("number 0, which is the file's")
	}
	if document.Schema != config.DocumentSchema {
		return nil, fmt.Errorf("schema %d; this program reads %d", document.Schema, config.DocumentSchema)
	}
	version, err := configstate.ParseVersion(document.Number, []byte(document.Text))
	if err != nil {
		return nil, err
	}
	version.RequiredListVersion = document.NeedsList
	return version, nil
}
