package xds

import (
	"fmt"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"flintspread/internal/config"
	"flintspread/internal/configstate"
	"flintspread/internal/xds/xdspb"
)

// ReadDocument reads the one document of a response, by the reader that reads a file.
func ReadDocument(r *discovery.DiscoveryResponse, relay string) (*configstate.Version, error) {
	if len(r.Resources) != 1 {
		return nil, fmt.Errorf("%d documents; one is wanted", len(r.Resources))
	}
	if t := r.Resources[0].TypeUrl; t != TypeDocument {
		return nil, fmt.Errorf("a resource of type %q", t)
	}
	var d xdspb.Document
	if err := proto.Unmarshal(r.Resources[0].Value, &d); err != nil {
		return nil, err
	}
	if d.Name != relay {
		return nil, fmt.Errorf("a document for %q", d.Name)
	}
	if d.Number == 0 {
		return nil, fmt.Errorf("number 0, which is the file's")
	}
	if d.Schema != config.DocumentSchema {
		return nil, fmt.Errorf("schema %d; this program reads %d", d.Schema, config.DocumentSchema)
	}
	v, err := configstate.Read(d.Number, []byte(d.Text))
	if err != nil {
		return nil, err
	}
	v.RequiredListVersion = d.NeedsList
	return v, nil
}
