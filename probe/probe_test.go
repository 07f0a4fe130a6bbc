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

type noted struct{ lines []string }

func (n *noted) SetTargetState(target string, leaving bool, models []string) {
	n.lines = append(n.lines, fmt.Sprintf("%s %v %v", target, leaving, models))
}

func TestChangeOfWhatATargetAnnouncesIsPassedOnOnce(t *testing.T) {
	is := is.New(t)
	answer := `{"leaving":false}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, answer)
	}))
	defer server.Close()
	current := topology.NewCurrent()
	current.Store(topology.Build(&schema.Config{
		Revision: 1,
		Services: []*schema.Service{{Name: "llm"}},
		Vms: []*schema.VM{{Name: "vm", Workloads: []*schema.Workload{{Service: "llm",
			Address: strings.TrimPrefix(server.URL, "http://")}}}},
	}, []*schema.Member{{Node: "n", State: schema.MemberState_MEMBER_STATE_ACTIVE}}, topology.Options{}))
	n := &noted{}
	p := New(Options{Node: "n", Admission: n, Logger: &log.Logger{Level: log.PanicLevel}}, current)
	for _, next := range []string{answer, `{"leaving":true}`, `{"leaving":true}`, `not json`,
		`{"leaving":false}`, `{"models":["m"]}`} {
		answer = next
		p.round(t.Context())
	}
	is.Equal(n.lines, []string{"vm/llm true []", "vm/llm false []", "vm/llm false [m]"})
}
