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
