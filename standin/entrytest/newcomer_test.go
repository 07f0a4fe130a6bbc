package entrytest

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// A key was taken away and all nodes know it; the store then comes back from a copy that
// still has the key. A node that starts now must not serve it: the others know better.
func TestNodeThatStartsAfterTheReturnDoesNotServeAKeyThatTheOthersKnowIsRevoked(t *testing.T) {
	for count := range 3 {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			env := newTestEnv(t)
			env.startWorker("i-a", "app", 0)
			first, second := env.startNode(1), env.startNode(2)
			env.waitReady(first)
			env.waitReady(second)
			older := env.store.Copy()
			env.writeConfig("k2") // The requests of the tests bear k1.
			for i, n := range []*node{first, second} {
				env.waitFor("k1 is refused", func() bool {
					return n.post("look", fmt.Sprint("r", i, time.Now().UnixNano())).status == http.StatusUnauthorized
				})
			}
			env.store.Restore(older)
			time.Sleep(6 * time.Second) // The revocation time is over.
			started := time.Now()
			third := env.startNode(3)
			served, ready, after := 0, 0, time.Duration(0)
			for i := 0; time.Since(started) < 4*time.Second; i++ {
				if third.post("look", fmt.Sprint("n", i)).status == http.StatusOK {
					served, after = served+1, time.Since(started)
					if third.readiness() == http.StatusOK {
						ready++
					}
				}
				time.Sleep(5 * time.Millisecond)
			}
			if served > 0 {
				t.Fatalf("%d requests with the revoked key were served, the last one %v after the start; %d while the node was ready", served, after, ready)
			}
		})
	}
}
