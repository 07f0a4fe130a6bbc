package owner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/loadreport"
)

// The owner chooses targets, and most responses come to other nodes of its zone.
func TestOwnerLearnsTheLoadsThatTargetsReportToItsNodes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2")
	c.setOwner("n1")
	c.waitUntilLinked("n2")
	grant, err := c.nodes["n2"].manager.Acquire(t.Context(), newWork("r1"))
	is.NoErr(err)
	reported := loadreport.Load{Running: 5, Waiting: 2, Pace: 2.5}
	c.nodes["n2"].manager.RecordLoad("n1-target", reported)
	is.Equal(<-c.nodes["n2"].balancer.loads, reportedTarget{"n1-target", reported}) // for when it decides alone
	grant.Event(time.Now())
	select {
	case got := <-c.nodes["n1"].balancer.loads:
		is.Equal(got, reportedTarget{"n1-target", reported})
	case <-time.After(eventuallyTimeout):
		t.Fatal("the owner did not learn the load")
	}
	grant.Done(balance.Answered)
	reports := c.nodes["n1"].balancer.reports
	is.Equal((<-reports).method, "first")
	is.Equal((<-reports).method, "ended")
	is.Equal(len(c.nodes["n1"].balancer.loads), 0) // It was told once.
}

// Its time would be that of its arrival at the owner.
func TestOldLoadIsNotReportedToTheOwner(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "n1", "n2")
	c.setOwner("n1")
	c.waitUntilLinked("n2")
	grant, err := c.nodes["n2"].manager.Acquire(t.Context(), newWork("r1"))
	is.NoErr(err)
	c.nodes["n2"].manager.RecordLoad("n1-target", loadreport.Load{Running: 5})
	time.Sleep(100 * time.Millisecond)
	grant.Done(balance.Answered)
	is.Equal((<-c.nodes["n1"].balancer.reports).method, "ended")
	is.Equal(len(c.nodes["n1"].balancer.loads), 0)
}
