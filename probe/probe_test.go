package probe

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

type fakeAdmission struct{ calls []string }

func (a *fakeAdmission) SetTargetState(target string, leaving bool, models []string) {
	a.calls = append(a.calls, fmt.Sprintf("%s %v %v", target, leaving, models))
}

// The head of a target's answer to a probe was bounded at 10 MiB only.
func TestHeadWithoutEndFromATargetIsRefused(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-A", strings.Repeat("a", 1<<20))
		fmt.Fprint(w, `{"leaving":true}`)
	}))
	defer server.Close()
	p := New(Options{Node: "n", Logger: &log.Logger{Level: log.PanicLevel}}, topology.NewCurrent())
	_, err := p.fetchState(t.Context(), strings.TrimPrefix(server.URL, "http://"))
	is.True(err != nil)
}

func TestStateChangeIsReportedOnce(t *testing.T) {
	is := is.New(t)
	body := `{"leaving":false}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, body)
	}))
	defer server.Close()
	current := topology.NewCurrent()
	current.Store(topology.Build(&schema.Config{
		Revision: 1,
		Services: []*schema.Service{{Name: "llm"}},
		Vms: []*schema.VM{{Name: "vm", Workloads: []*schema.Workload{{Service: "llm",
			Address: strings.TrimPrefix(server.URL, "http://")}}}},
	}, []*schema.Member{{Node: "n", State: schema.MemberState_MEMBER_STATE_ACTIVE}}, topology.Options{}))
	admission := &fakeAdmission{}
	p := New(Options{Node: "n", Admission: admission, Logger: &log.Logger{Level: log.PanicLevel}}, current)
	for _, response := range []string{body, `{"leaving":true}`, `{"leaving":true}`, `not json`,
		`{"leaving":false}`, `{"models":["m"]}`} {
		body = response
		p.probeAll(t.Context())
	}
	is.Equal(admission.calls, []string{"vm/llm true []", "vm/llm false []", "vm/llm false [m]"})
}
