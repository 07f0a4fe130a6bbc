package ctl_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/ctl"
)

// startService serves calls as the stand-in service does and reports runs as the
// number of runs of each call.
func startService(t *testing.T, runs int) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"request_id":%q,"run":%d}`, r.Header.Get("Idempotency-Key"), runs)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func TestReplayChecksExpectationsAndPerformsActions(t *testing.T) {
	is := is.New(t)
	x := newTool(t)
	is.Equal(x.runOnStore("apply", registerFile, rulesFile).code, ctl.ExitOK)
	var faults atomic.Int32
	platform := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { faults.Add(1) }))
	t.Cleanup(platform.Close)
	path := filepath.Join(t.TempDir(), "t.jsonl")
	text := `{"kind":"trace","name":"small"}
{"kind":"expect","expect":"single_runs"}
{"kind":"expect","expect":"useful","tier":"interactive","min_share":1}
{"kind":"action","at_ms":1,"do":"set_leaving","vm":"herd-05"}
{"kind":"action","at_ms":2,"do":"store_down"}
{"kind":"action","at_ms":3,"do":"store_healed"}
{"kind":"call","at_ms":0,"id":"a","keyed":true,"team":"bookings","tier":"interactive","service":"paddock-app","method":"POST","path":"/bookings"}
`
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	args := []string{"replay", path, "--platform", "memory", "--faults", platform.URL, "--quiet", "--output", "json", "--url"}
	r := x.run("", append(args, startService(t, 1))...)
	is.Equal(r.code, ctl.ExitOK)
	is.Equal(faults.Load(), int32(2))
	is.True(strings.Contains(x.runOnStore("register", "list").stdout, "leaving"))
	r = x.run("", append(args, startService(t, 2))...)
	is.Equal(r.code, ctl.ExitFailed)
	var result struct{ Verdicts []struct{ Met bool } }
	is.NoErr(json.Unmarshal([]byte(r.stdout), &result))
	is.True(!result.Verdicts[0].Met && result.Verdicts[1].Met)
	is.Equal(x.run("", "replay", path, "--url", startService(t, 1)).code, ctl.ExitBadInput) // It edits the register.
}

func TestLoadIsBoundedAndReported(t *testing.T) {
	is := is.New(t)
	x := newTool(t)
	url := startService(t, 1)
	r := x.run("", "load", "--url", url, "--rate", "200", "--duration", "100ms", "--team", "bookings", "--burst", "0s:50ms:3",
		"--plot", filepath.Join(t.TempDir(), "p.png"), "--quiet", "--output", "json")
	is.Equal(r.code, ctl.ExitOK)
	var report struct{ Rows []struct{ Sent, Useful int } }
	is.NoErr(json.Unmarshal([]byte(r.stdout), &report))
	is.True(report.Rows[0].Sent > 0)
	is.Equal(report.Rows[0].Useful, report.Rows[0].Sent)
	for _, invalid := range [][]string{
		{"--rate", "100000", "--duration", "1m"}, {"--duration", "2h"}, {"--rate", "-1"}, {"--burst", "now"},
		{"--prefix-reuse", "2"}, {"--team", "nobody"}, {"--url", "http://192.0.2.1:80"}, {"--plot", "x.jpg"}, {"--keys", "/none"},
	} {
		args := append([]string{"load", "--quiet", "--url", url}, invalid...)
		is.Equal(x.run("", args...).code, ctl.ExitBadInput)
	}
	is.True(strings.HasPrefix(x.run("", "trace", "kowhai-packing-day").stdout, `{"kind":"trace"`))
	is.Equal(x.run("", "trace", "none").code, ctl.ExitBadInput)
}
