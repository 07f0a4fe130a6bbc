package forward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/datastore"
)

// zoneNodes returns nodes of a zone.
func zoneNodes(zone string, count int) (nodes []datastore.Node) {
	for i := range count {
		nodes = append(nodes, datastore.Node{Name: fmt.Sprint(zone, i), Zone: zone})
	}
	return nodes
}

func TestNodesInTheTargetsZoneAreAskedFirstAndThenThoseOfTheOwn(t *testing.T) {
	is := is.New(t)
	s := newStanding()
	nodes := append(append(zoneNodes("a", 5), zoneNodes("b", 5)...), zoneNodes("c", 5)...)
	for range 50 {
		ranked := s.rank(nodes, "a", "b", time.Now())
		is.Equal(len(ranked), maxNodes)
		is.Equal(ranked[0].Zone+ranked[1].Zone+ranked[2].Zone+ranked[3].Zone, "bbaa")
	}
}

// All or most of a zone of 50 nodes have lost their links: the requests of its nodes find
// one that has them among the first few that are asked.
func TestNodeWithLinksIsFoundWhileMostOfAZoneHasNone(t *testing.T) {
	for _, lost := range []int{49, 40} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			is := is.New(t)
			s, now := newStanding(), time.Now()
			nodes := append(zoneNodes("a", 49), zoneNodes("b", 50)...)
			asked, served := 0, 0
			for i := range 300 {
				now = now.Add(10 * time.Millisecond)
				for _, n := range s.rank(nodes, "a", "a", now) {
					asked++
					var number int
					fmt.Sscanf(n.Name, n.Zone+"%d", &number)
					if n.Zone == "a" && number < lost {
						s.refused(n, now)
						continue
					}
					s.accepted(n)
					served++
					break
				}
				if i%2 == 1 {
					s.ended("b0")
				}
			}
			is.Equal(served, 300)
			is.True(asked < 400)
		})
	}
}

// No node reaches the service. Each is asked a few times a second, however many requests come.
func TestNodesThatAllRefuseAreNotAskedForEachRequest(t *testing.T) {
	is := is.New(t)
	s, now := newStanding(), time.Now()
	nodes := append(zoneNodes("a", 2), zoneNodes("b", 3)...)
	asked := make(map[string]int)
	for range 1000 {
		now = now.Add(time.Millisecond)
		for _, n := range s.rank(nodes, "a", "b", now) {
			asked[n.Name]++
			s.refused(n, now)
		}
	}
	for _, n := range nodes {
		is.True(asked[n.Name] >= 3) // A node whose links are back is found soon.
		is.True(asked[n.Name] <= 5)
	}
}

func TestRequestsAreSpreadOverTheNodesThatForwardThem(t *testing.T) {
	is := is.New(t)
	s, nodes := newStanding(), zoneNodes("b", 10)
	for range 200 {
		s.accepted(s.rank(nodes, "a", "b", time.Now())[0])
	}
	for _, n := range nodes {
		is.True(s.running[n.Name] >= 10 && s.running[n.Name] <= 30)
	}
}

// A service that nobody has asked for since, or that is gone, says nothing of the present.
func TestNodesThatAcceptedLongAgoAreNotTakenToAcceptNow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		none, all := nodeAnswers{}, nodeAnswers{"app": true, "llm": true}
		c := NewClient(ClientOptions{})
		is.True(c.Usable())
		all.record(c, "app", "llm")
		is.True(c.Usable())
		time.Sleep(time.Minute)
		is.True(c.Usable()) // nobody has asked since
		none.record(c, "llm")
		is.True(!c.Usable())
		time.Sleep(time.Second)
		nodeAnswers{"app": true}.record(c, "app", "llm")
		is.True(c.Usable()) // for one of two services
		time.Sleep(2 * time.Second)
		none.record(c, "app", "llm")
		is.True(!c.Usable())
		time.Sleep(refusedTime)
		is.True(c.Usable()) // may be asked again
	})
}

// nodeAnswers are the services to which all other nodes accept requests.
type nodeAnswers map[string]bool

// record records the outcome of one request to each of some services.
func (a nodeAnswers) record(c *Client, services ...string) {
	for _, service := range services {
		c.standing(service).recordOutcome(a[service], time.Now())
	}
}
