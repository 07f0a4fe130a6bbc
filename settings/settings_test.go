package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/settings"
	"github.com/primrosemoor/primrosemoor/tomlproto"
)

const minimal = `[node]
name = "n1"
availability_zone = "munster-1"
region = "munster"
[http]
listen_address = "127.0.0.1:8080"
[peer]
listen_address = "127.0.0.1:8081"
[platform]
url = "http://127.0.0.1:9000"
`

func TestMinimalSettingsGetTheDefaults(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "s.toml")
	text := minimal + "call_timeout = \"250ms\"\n"
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	s, err := settings.Load(path)
	is.NoErr(err)
	is.Equal(s.GetPlatform().GetCallTimeout().AsDuration(), 250*time.Millisecond)
	is.Equal(s.GetHttp().GetMaxBodyBytes(), settings.Default().GetHttp().GetMaxBodyBytes())
	is.Equal(s.GetNode().GetCluster(), "primrosemoor")
}

func TestBadSettingsNameKeyLineAndRemedy(t *testing.T) {
	tests := []struct {
		name, from, to string
		key            string
		line           int
		remedy         string
	}{
		{"unknown key", `region = "munster"`, `regoin = "munster"`, "node.regoin", 4, "remove it or use one of"},
		{"missing key", `name = "n1"`, ``, "node.name", 1, "set node.name"},
		{"wrong type", `name = "n1"`, `name = 7`, "node.name", 2, "write a string"},
		{"section as value", `[node]`, "log = 3\n[node]", "log", 1, "write a table"},
		{"no duration", `[peer]`, "read_timeout = \"5\"\n[peer]", "http.read_timeout", 7, "write a duration such as"},
		{"duration too short", `[peer]`, "read_timeout = \"1ms\"\n[peer]", "http.read_timeout", 7, "from 100ms to 1h0m0s"},
		{"explicit zero", `[peer]`, "max_body_bytes = 0\n[peer]", "http.max_body_bytes", 7, "from 1024"},
		{"negative", `[peer]`, "max_body_bytes = -1\n[peer]", "http.max_body_bytes", 7, "write a number from 0"},
		{"address conflict", `127.0.0.1:8081`, `127.0.0.1:8080`, "peer.listen_address", 8, "use another port"},
		{"host name", `127.0.0.1:8081`, `localhost:8081`, "peer.listen_address", 8, "write an IP and a port"},
		{"port zero", `127.0.0.1:8081`, `127.0.0.1:0`, "peer.listen_address", 8, "write an IP and a port"},
		{"no address to dial", `127.0.0.1:8081`, `0.0.0.0:8081`, "peer.advertise_address", 7, "that other nodes dial"},
		{"short ticket key", `[platform]`, "ticket_key = \"c2hvcnQ=\"\n[platform]", "peer.ticket_key", 9, "openssl rand"},
		{"no base64", `[platform]`, "ticket_key = \"***\"\n[platform]", "peer.ticket_key", 9, "openssl rand"},
		{"incomplete TLS files", `[platform]`, "tls_key_file = \"/dev/null\"\n[platform]", "peer.tls_ca_file", 7, "set peer.tls_ca_file"},
		{"missing file", `[platform]`, "[platform]\ntoken_file = \"/none/here\"", "platform.token_file", 10, "can read"},
		{"bad URL", `http://127.0.0.1:9000`, `127.0.0.1:9000`, "platform.url", 10, "write a URL"},
		{"bad level", `[node]`, "[log]\nlevel = \"loud\"\n[node]", "log.level", 2, "debug, info, warn, error"},
		{"bad seed", `[platform]`, "seeds = [\"node-2\"]\n[platform]", "peer.seeds", 9, "write an IP and a port"},
		{"suspect_after too short", `[node]`, "[membership]\nsuspect_after = \"500ms\"\n[node]", "membership.suspect_after", 2, "at least 600ms"},
		{"isolated_after too short", `[node]`, "[membership]\nisolated_after = \"1s\"\n[node]", "membership.isolated_after", 2, "more than 1s"},
		{"stream below deadline", `[peer]`, "max_stream_duration = \"5s\"\n[peer]", "http.max_stream_duration", 7, "at least 30s"},
		{"bad source address", `region = "munster"`, "region = \"munster\"\nsource_address = \"eth0\"", "node.source_address", 5, "IP address"},
		{"syntax", `[node]`, `[node`, "", 1, "TOML syntax"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(minimal, test.from, test.to, 1)
			_, err := settings.Parse("s.toml", []byte(text))
			is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_BAD_REQUEST)
			problems := problemsOf(t, err)
			p, ok := find(problems, test.key)
			is.True(ok)                                      // The problem names the key.
			is.Equal(p.Line, test.line)                      // The problem names the line.
			is.True(strings.Contains(p.Remedy, test.remedy)) // The problem names the remedy.
			is.True(strings.HasPrefix(p.String(), "s.toml:"))
		})
	}
}

func TestAllProblemsAreReportedTogether(t *testing.T) {
	is := is.New(t)
	text := "[node]\nnmae = \"n\"\n[http]\nread_timeout = 5\n[log]\nlevel = 1\n"
	_, err := settings.Parse("s.toml", []byte(text))
	is.Equal(len(problemsOf(t, err)), 3)
}

func TestMissingSettingsFileIsNamed(t *testing.T) {
	is := is.New(t)
	_, err := settings.Load("/none/s.toml")
	is.True(strings.Contains(err.Error(), "/none/s.toml: the file does not exist"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte("[node]\nname = 1979-05-27\n"))
	f.Add([]byte("[[node]]\n[[node.x]]\n"))
	f.Add([]byte("node = {name = \"a\", name.b = 1}\n"))
	f.Add([]byte("a.b.c = [{d = [1, 2]}]\n[http]\nread_timeout = \"9999999h\"\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := settings.Parse("s.toml", content)
		if (s == nil) == (err == nil) {
			t.Fatalf("Parse returned settings %v with error %v", s, err)
		}
	})
}

func problemsOf(t *testing.T, err error) tomlproto.Problems {
	t.Helper()
	var problems tomlproto.Problems
	if !errors.As(err, &problems) {
		t.Fatalf("error %v contains no problems", err)
	}
	return problems
}

func find(problems tomlproto.Problems, key string) (tomlproto.Problem, bool) {
	for _, p := range problems {
		if p.Key == key {
			return p, true
		}
	}
	return tomlproto.Problem{}, false
}
