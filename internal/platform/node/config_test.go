package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// An invalid file is rejected with an error that names the file and the key.
func TestInvalidConfigRejected(t *testing.T) {
	s := newSite(t, 0)
	valid := s.Config("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	if _, err := ParseConfig([]byte(valid)); err != nil {
		t.Fatal(err)
	}
	for want, edit := range map[string][2]string{
		"listen: \"\" is no HOST:PORT":                               {`"listen":"127.0.0.1:1"`, `"listen":""`},
		"discovery: \"x\" is no HOST:PORT":                           {`"discovery":"127.0.0.1:2"`, `"discovery":"x"`},
		"platform.address: \"\" is no HOST:PORT":                     {`"address":"127.0.0.1:3"`, `"addr":"127.0.0.1:3"`},
		"seed: \"x\" is not a number of up to 16 hexadecimal digits": {`"seed":"8c1f30d27a5be964"`, `"seed":"x"`},
		"name: must not be empty":                                    {`"name":"n1"`, `"nom":"n1"`},
		"limits.memory_mb: 1 must be at least 16":                    {`"memory_mb":64`, `"memory_mb":1`},
		"limits.sockets: 0 must be at least 64":                      {`"sockets":256`, `"socks":256`},
		"limits.cores: 0 must be above 0":                            {`"cores":1.0`, `"cores":0`},
		"setting rules.fall is missing":                              {`"fall":1000.0`, `"fell":1000.0`},
		"setting family_info.window is not a number":                 {`"window":1000.0`, `"window":"four"`},
		"setting classes.0.name is missing":                          {`"name":"lookup"`, `"nom":"lookup"`},
		"platform.news: unknown phase \"on\"":                        {`"phase":"trial"`, `"phase":"on"`},
		"known: host \"u1\" (entry 0): unknown health":               {`"known":{"hosts":null`, `"known":{"hosts":[{"host":"u1","health":"x"}]`},
		"unexpected end of JSON input":                               {valid, valid[:len(valid)/2]},
	} {
		text := strings.Replace(valid, edit[0], edit[1], 1)
		if _, err := ParseConfig([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one that contains %q", err, want)
		}
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if _, err := ReadConfig(file); err == nil || !strings.Contains(err.Error(), file) {
		t.Errorf("error of a missing file: %v", err)
	}
	if err := os.WriteFile(file, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadConfig(file); err == nil || !strings.HasPrefix(err.Error(), file+": ") {
		t.Errorf("error of an empty configuration: %v", err)
	}
	t.Setenv("LB_CONFIG", file)
	if err := Main(); err == nil || !strings.Contains(err.Error(), file) {
		t.Errorf("error of Main: %v", err)
	}
}
