package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/node"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/register"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/settings"
)

const (
	waitLimit = 10 * time.Second
	// keyHash is the SHA-256 sum of the key "secret".
	keyHash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
	body    = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`
)

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startEngine serves a stream and sends its second half after release is closed.
func startEngine(t *testing.T, release <-chan struct{}) string {
	t.Helper()
	handler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Stream-Id", "s")
		fmt.Fprint(w, "id: 1\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"one \"}}]}\n\n")
		w.(http.Flusher).Flush()
		<-release
		fmt.Fprint(w, "id: 2\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"two\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(handler)}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

func config(engine string) *schema.Config {
	return &schema.Config{
		AvailabilityZones: []*schema.AvailabilityZone{{Name: "z", Region: "r"}},
		Tiers:             []*schema.Tier{{Name: "only", Rank: 0}},
		Services: []*schema.Service{{Name: "llm", Kind: schema.ServiceKind_SERVICE_KIND_ENGINE,
			Models: []string{"m"}, Tier: "only"}},
		Teams: []*schema.Team{{Name: "team", KeyHashes: []string{keyHash}}},
		Vms: []*schema.VM{{Name: "vm", AvailabilityZone: "z", State: schema.VMState_VM_STATE_ACTIVE,
			Workloads: []*schema.Workload{{Service: "llm", Address: engine, Models: []string{"m"}}}}},
	}
}

func testSettings(t *testing.T) *schema.Settings {
	s := settings.Default()
	s.Node = &schema.NodeSettings{Name: "n", Cluster: "c", AvailabilityZone: "z", Region: "r"}
	s.Http.ListenAddress = freeAddress(t)
	s.Peer.ListenAddress = freeAddress(t)
	s.Log.Level = "error"
	return s
}

func waitStatus(t *testing.T, address string, status int) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for time.Now().Before(deadline) {
		response, err := http.Get("http://" + address + "/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == status {
				return
			}
		}
		<-time.After(20 * time.Millisecond)
	}
	t.Fatalf("the node did not answer %d to /readyz", status)
}

func TestGracefulShutdownFinishesTheStreamInFlight(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	store := objects.NewMemory()
	_, err := register.Apply(t.Context(), store, register.Diff(&schema.Config{}, config(startEngine(t, release))), "test")
	is.NoErr(err)
	s := testSettings(t)
	app := node.New(s, node.Options{Store: store})
	is.NoErr(app.Start(t.Context()))
	waitStatus(t, s.GetHttp().GetListenAddress(), http.StatusOK)

	request, err := http.NewRequest(http.MethodPost, "http://"+s.GetHttp().GetListenAddress()+"/v1/chat/completions", strings.NewReader(body))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer secret")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusOK)
	reader := bufio.NewReader(response.Body)
	_, err = reader.ReadString('\n') // The first event has arrived.
	is.NoErr(err)

	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		stopped <- app.Stop(ctx)
	}()
	waitStatus(t, s.GetHttp().GetListenAddress(), http.StatusServiceUnavailable)
	close(release)
	rest, err := io.ReadAll(reader)
	is.NoErr(err)
	is.True(strings.Contains(string(rest), "two"))
	is.True(strings.HasSuffix(strings.TrimSpace(string(rest)), "data: [DONE]"))
	is.NoErr(<-stopped)
}

// http.Server.Shutdown drops a request of which a part has come.
func TestRequestThatIsThereInPartWhenANodeStopsIsAnswered(t *testing.T) {
	is := is.New(t)
	s := testSettings(t)
	app := node.New(s, node.Options{Store: objects.NewMemory()})
	is.NoErr(app.Start(t.Context()))
	conn, err := net.Dial("tcp", s.GetHttp().GetListenAddress())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(waitLimit)))
	reader := bufio.NewReader(conn)
	ask := func(text string) {
		_, err := fmt.Fprint(conn, text)
		is.NoErr(err)
	}
	answered := func() {
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
	}
	ask("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
	answered()
	ask("GET /healthz HTTP/1.1\r\n")
	stopped := make(chan error, 1)
	go func() { stopped <- app.Stop(context.Background()) }()
	time.Sleep(s.GetShutdown().GetReadinessDelay().AsDuration() + time.Second)
	ask("Host: h\r\n\r\n")
	answered()
	is.NoErr(<-stopped)
}
