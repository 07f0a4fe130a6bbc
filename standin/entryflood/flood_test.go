package entryflood

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// small is the node of these tests. Its memory and its descriptors are lower than those of any
// deployment, so that a small crowd shows what a large one does at the smallest of these.
var small = size{mebibytes: 64, descriptors: 1024}

// crowd is how many clients there are, fewer than the connections that callers may have.
const crowd = 500

const (
	requestLine = "POST /look/x HTTP/1.1\r\nHost: farm.example\r\nApi-Key: " + apiKey + "\r\n"
	// headBytes is what a client sends of a head, which is below the bound of one head.
	headBytes = 60 << 10
	// largeBody and smallBody are the lengths of bodies that the configuration allows.
	largeBody = maxBodyBytes
	smallBody = 16 << 10
)

// longLine is a head that consists of one line without end.
func longLine() []byte {
	return []byte(requestLine + "Long: " + strings.Repeat("x", headBytes))
}

// shortLines is a head of very many fields, each with a name of its own.
func shortLines() []byte {
	var b bytes.Buffer
	b.WriteString(requestLine)
	for i := 0; b.Len() < headBytes; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.Bytes()
}

// emptyLines precede a request that does not come.
func emptyLines() []byte { return bytes.Repeat([]byte("\r\n"), headBytes/2) }

// withLength is a request whose body of a length lacks its last byte.
func withLength(length int) []byte {
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", requestLine, length, strings.Repeat("x", length-1))
}

// inChunks is a request whose body of a length comes in chunks, and lacks its end.
func inChunks(length, chunk int) []byte {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	return []byte(requestLine + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(one, (length-1)/chunk))
}

// manyFields is a whole head of very many fields, and a body that lacks its last byte.
func manyFields() []byte {
	return append(shortLines(), "Content-Length: 2\r\n\r\nx"...)
}

// kind is what one client of a crowd sends before it stops and stays.
type kind struct {
	name  string
	sends []byte
}

func kinds() []kind {
	return []kind{
		{"heads with a line without end", longLine()},
		{"heads with very many fields", shortLines()},
		{"whole heads with very many fields and a body a byte short", manyFields()},
		{"empty lines without end", emptyLines()},
		{"large bodies a byte short", withLength(largeBody)},
		{"small bodies a byte short", withLength(smallBody)},
		{"bodies in large chunks", inChunks(largeBody, 32<<10)},
		{"bodies in chunks of one byte", inChunks(smallBody*4, 1)},
	}
}

// flood lets each client of a crowd send one of some kinds, in turn, and stay until the test
// ends.
func (n *node) flood(clients int, crowd ...kind) {
	n.t.Helper()
	requireDescriptors(n.t, 2*clients+200)
	var sending sync.WaitGroup
	for i := range clients {
		sending.Go(func() {
			c, err := n.connect()
			if err != nil {
				return // The node may refuse it.
			}
			n.t.Cleanup(func() { c.Close() })
			_ = c.SetWriteDeadline(time.Now().Add(waitTimeout))
			// The node may close it before it has read everything.
			_, _ = c.Write(crowd[i%len(crowd)].sends)
		})
	}
	sending.Wait()
}

// besiege lets each client of a crowd send one of some kinds, in turn, and come back as soon as
// the node closes its connection, for a time.
func (n *node) besiege(clients int, length time.Duration, crowd ...kind) {
	n.t.Helper()
	requireDescriptors(n.t, 2*clients+200)
	end := time.Now().Add(length)
	var sending sync.WaitGroup
	for i := range clients {
		sending.Go(func() {
			for time.Now().Before(end) {
				n.sendOnce(crowd[i%len(crowd)].sends, end)
			}
		})
	}
	sending.Wait()
}

// sendOnce sends on a new connection, and waits until the node closes it or until a time.
func (n *node) sendOnce(sends []byte, end time.Time) {
	c, err := n.connect()
	if err != nil {
		return // The node may refuse it.
	}
	defer c.Close()
	_ = c.SetDeadline(end)
	if _, err := c.Write(sends); err == nil {
		_, _ = io.Copy(io.Discard, c)
	}
}

// checkCrowd floods a node and checks that it lives, keeps to its memory and its descriptors,
// and serves what an ordinary caller sends beside the crowd.
func checkCrowd(t *testing.T, size size, clients int, crowd ...kind) {
	t.Helper()
	is := is.New(t)
	n := startNode(t, size, headTime)
	idle := n.peakMebibytes()
	n.flood(clients, crowd...)
	n.waitFor("an ordinary request is answered beside the crowd", func() bool { return n.ask() == nil })
	// The crowd is still there, and what it holds has had time to grow.
	time.Sleep(time.Second)
	n.waitFor("another one is answered", func() bool { return n.ask() == nil })
	peak, descriptors := n.peakMebibytes(), n.descriptors()
	t.Logf("resident at most %d MiB, %d MiB before the crowd; %d descriptors", peak, idle, descriptors)
	is.True(n.Running())
	is.True(peak <= size.mebibytes)
	is.True(descriptors <= size.descriptors)
}

// A crowd of clients that stop just short of the end of what they send, and stay, ended a
// process by its memory. What an ordinary caller sends meanwhile is served.
func TestCrowdsLeaveTheNodeItsMemory(t *testing.T) {
	for _, k := range kinds() {
		t.Run(k.name, func(t *testing.T) { checkCrowd(t, small, crowd, k) })
	}
}

// smallest is the smallest node of a deployment, of 184 MB.
var smallest = size{mebibytes: 175, descriptors: 4100}

func TestMixedCrowdLeavesTheSmallestNodeItsMemory(t *testing.T) {
	checkCrowd(t, smallest, 2000, kinds()...)
}

// behind is a whole request, which is refused, and behind it in the same packet the beginning of
// a head of very many fields.
func behind(request string) []byte {
	const bufferBytes = 4 << 10 // What net/http reads at a time.
	return append([]byte(request), shortLines()[:bufferBytes-len(request)]...)
}

// A head that came behind a whole request was read without a look at what it takes.
func TestHeadsBehindRequestsLeaveTheSmallestNodeItsMemory(t *testing.T) {
	for _, k := range []kind{
		{"without a body", behind("GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n")},
		{"with a length", behind("POST /unknown HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")},
		{"in chunks", behind("POST /unknown HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")},
		{"two requests", behind(strings.Repeat("GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n", 2))},
	} {
		t.Run(k.name, func(t *testing.T) { checkCrowd(t, smallest, 2000, k) })
	}
}

// checkReturning floods a node with a crowd that comes back as soon as it is turned away, so
// that the node turns it away without end.
func checkReturning(t *testing.T, size size, clients int) {
	t.Helper()
	const length = 4 * time.Second
	is := is.New(t)
	n := startNode(t, size, headTime)
	besieged := make(chan struct{})
	go func() {
		defer close(besieged)
		n.besiege(clients, length, kinds()...)
	}()
	time.Sleep(time.Second)
	n.waitFor("an ordinary request is answered beside the crowd", func() bool { return n.ask() == nil })
	<-besieged
	n.waitFor("one is answered afterwards", func() bool { return n.ask() == nil })
	peak := n.peakMebibytes()
	t.Logf("resident at most %d MiB; %d descriptors", peak, n.descriptors())
	is.True(n.Running())
	is.True(peak <= size.mebibytes)
	is.True(n.descriptors() <= size.descriptors)
}

// Memory of requests that were turned away was not free again before the next ones came.
func TestCrowdThatComesBackLeavesTheSmallestNodeItsMemory(t *testing.T) {
	checkReturning(t, smallest, 2000)
}

// The same on a node below the size of any deployment, listed in KNOWN-RED.txt.
func TestCrowdThatComesBackLeavesASmallNodeItsMemory(t *testing.T) { checkReturning(t, small, crowd) }

// What a connection costs that sends nothing, or a byte of its request, times as many as the
// smallest node may have leaves room for the rest.
func TestIdleConnectionsLeaveTheSmallestNodeItsMemory(t *testing.T) {
	for _, k := range []kind{{"nothing", nil}, {"a byte of a head", []byte("P")}, {"a byte of a body", inChunks(2, 1)}} {
		t.Run(k.name, func(t *testing.T) { checkCrowd(t, smallest, 2000, k) })
	}
}

// Clients that take all connections and never end their bodies or heads kept all others out.
func TestUnfinishedRequestsOnAllConnectionsGiveWay(t *testing.T) {
	for _, k := range []kind{{"bodies", withLength(4)}, {"heads", []byte(requestLine)}} {
		t.Run(k.name, func(t *testing.T) {
			is := is.New(t)
			n := startNode(t, small, 5*time.Minute)
			n.flood(small.descriptors/2+100, k)
			n.waitFor("an ordinary request is answered beside the crowd", func() bool { return n.ask() == nil })
			is.True(n.Running())
			is.True(n.peakMebibytes() <= small.mebibytes)
			is.True(n.descriptors() <= small.descriptors)
		})
	}
}

// A refusal that comes before the body has been read reaches a client that writes first and
// reads late. It was withheld until more of the body had come, or lost with a reset.
func TestRefusalReachesAClientThatReadsLate(t *testing.T) {
	const pause = 200 * time.Millisecond
	for _, c := range []struct {
		name, status string
		head         string
		body, pieces int
	}{
		{"length beyond the limit", "413", fmt.Sprintf("Content-Length: %d", 4*maxBodyBytes), 4 * maxBodyBytes, 8},
		{"length beyond the limit, body that stops", "413", fmt.Sprintf("Content-Length: %d", 4*maxBodyBytes), 10, 1},
		{"chunks beyond the limit", "413", "Transfer-Encoding: chunked", 4 * maxBodyBytes, 8},
		{"unknown route, body that stops", "404", fmt.Sprintf("Content-Length: %d", 100<<10), 10, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := startNode(t, small, headTime)
			client, err := n.connect()
			is.NoErr(err)
			defer client.Close()
			line := strings.Split(requestLine, "\r\n")
			if c.status == "404" {
				line[0] = "POST /unknown HTTP/1.1"
			}
			_, err = fmt.Fprint(client, strings.Join(line, "\r\n"), c.head, "\r\n\r\n")
			is.NoErr(err)
			piece := strings.Repeat("x", c.body/c.pieces)
			if strings.HasPrefix(c.head, "Transfer") {
				piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
			}
			for range c.pieces {
				_, err = client.Write([]byte(piece))
				is.NoErr(err) // The node resets the connection under the client's writes.
				time.Sleep(pause)
			}
			is.Equal(readStatus(t, client), c.status)
		})
	}
}

// readStatus returns the status of the answer that lies in a connection.
func readStatus(t *testing.T, c net.Conn) string {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(waitTimeout / 3)); err != nil {
		t.Fatal(err)
	}
	line := make([]byte, len("HTTP/1.1 200"))
	for n := 0; n < len(line); {
		read, err := c.Read(line[n:])
		if err != nil {
			t.Fatalf("%d bytes of the answer: %v", n, err)
		}
		n += read
	}
	return string(line[len("HTTP/1.1 "):])
}
