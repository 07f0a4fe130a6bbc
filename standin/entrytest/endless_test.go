package entrytest

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/standin/worker"
)

const (
	// smallNodeMebibytes is the memory of the smallest node, of which three quarters are
	// for the heap.
	smallNodeMebibytes = 184
	smallNodeHeapBytes = smallNodeMebibytes << 20 * 3 / 4
)

// endlessWorker answers each request with the head of a stream and bytes of an event that
// does not end.
type endlessWorker struct {
	address string
	// open counts the connections that carry an answer.
	open atomic.Int64
	// pause is after how many bytes of an answer the worker sends no more; 0 is never.
	pause int
}

const endlessHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Primrosemoor-Attempt-Id: %s\r\n" + headerSeal + ": s\r\n\r\ndata: "

// startEndlessWorker registers a worker that never ends an event. After pause bytes of an
// answer, if that is not 0, it sends no more and keeps the connection.
func (env *testEnv) startEndlessWorker(id string, pause int) *endlessWorker {
	env.t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { l.Close() })
	w := &endlessWorker{address: l.Addr().String(), pause: pause}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	env.startWorkerAs(&worker.Worker{ID: id, Service: "llm", Events: 1, Advertise: func(string) (string, error) { return w.address, nil }})
	return w
}

func (w *endlessWorker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	w.open.Add(1)
	defer w.open.Add(-1)
	fmt.Fprintf(conn, endlessHead, r.Header.Get("X-Primrosemoor-Attempt-Id"))
	block := []byte(strings.Repeat("x", 8<<10))
	for sent := 0; w.pause == 0 || sent < w.pause; sent += len(block) {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
	for { // Until the node closes the connection.
		if _, err := reader.ReadByte(); err != nil {
			return
		}
	}
}

func heapBytes() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// Many faulty workers that each sent an event without an end, and some of them no more
// once it was almost too large, took the memory of a node, and with it the requests of all
// its callers.
func TestManyWorkersThatSendWithoutEndLeaveMemoryForOtherRequests(t *testing.T) {
	const workers, callers, eventBytes = 40, 300, 1000 << 10
	is := is.New(t)
	env := newLoneTestEnv(t)
	var faulty []*endlessWorker
	for i := range workers {
		pause := eventBytes
		if i%4 == 0 {
			pause = 0
		}
		faulty = append(faulty, env.startEndlessWorker(fmt.Sprint("i-f", i), pause))
	}
	env.startWorker("i-a", "app", 0)
	settings := env.settings(1)
	settings.Resources.MemoryMebibytes = smallNodeMebibytes
	n := env.startNodeWith(1, settings)
	env.waitReady(n)
	before := heapBytes()
	// The callers leave before the time limit of their requests.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 1500 * time.Millisecond}
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() { n.postWith(client, "chat", fmt.Sprint("f-", i)) })
	}
	peak := int64(0)
	for i := range 20 {
		is.Equal(n.post("book", fmt.Sprint("b-", i)).status, 200)
		peak = max(peak, heapBytes()-before)
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("heap %d MiB", peak>>20)
	is.True(peak < smallNodeHeapBytes)
	running.Wait()
	for _, w := range faulty {
		env.waitFor("the connections are closed", func() bool { return w.open.Load() == 0 })
	}
}
