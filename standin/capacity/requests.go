package capacity

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	permitWorkers = 16
	// prefixBlocks is the number of prefix blocks of a prompt of about 2,000
	// tokens.
	prefixBlocks  = 32
	claimNodes    = 4
	claimTime     = 4 * time.Second
	platformDelay = 4 * time.Millisecond
)

// permitCost is the total cost of requesting and returning permits over a link:
// bytes sent and CPU time in seconds.
type permitCost struct {
	bytes float64
	cpu   float64
}

// measurePermits acquires and returns count permits at an entry node from groups
// that other nodes own, and returns the total cost without the idle usage.
func measurePermits(count int) (permitCost, error) {
	c, err := startCluster(2*targetZones, makeConfig(2*targetZones*vmsPerNode, targetTeams))
	if err != nil {
		return permitCost{}, err
	}
	defer c.stop()
	time.Sleep(settleTime)
	entry := c.nodes[0]
	services := c.remoteServices(entry)
	if len(services) == 0 {
		return permitCost{}, fmt.Errorf("no group near %s is owned by another node", entry.place.Node)
	}
	idle := c.idleUsage()
	began, sent, cpu := time.Now(), c.bytesSent(), cpuTime()
	if err := entry.acquirePermits(count, services); err != nil {
		return permitCost{}, err
	}
	used := usage{sent: float64(c.bytesSent() - sent), cpu: (cpuTime() - cpu).Seconds()}
	used = used.minusIdle(idle, time.Since(began))
	return permitCost{bytes: used.sent, cpu: used.cpu}, nil
}

// remoteServices returns the services whose group in the entry node's zone is
// owned by another node.
func (c *cluster) remoteServices(entry *member) []string {
	var services []string
	for _, g := range entry.current.Load().Groups() {
		if g.AvailabilityZone == entry.place.AvailabilityZone && g.Owner != entry.place.Node {
			services = append(services, g.Service)
		}
	}
	return slices.Compact(services)
}

// acquirePermits acquires and returns count permits with permitWorkers concurrent
// workers. It returns one of the errors, if any.
func (m *member) acquirePermits(count int, services []string) error {
	work := make(chan int)
	errs := make(chan error, permitWorkers)
	var wg sync.WaitGroup
	for range permitWorkers {
		wg.Go(func() {
			for i := range work {
				if err := m.acquireAndReturnPermit(i, services[i%len(services)]); err != nil {
					select {
					case errs <- err:
					default:
					}
				}
			}
		})
	}
	for i := range count {
		work <- i
	}
	close(work)
	wg.Wait()
	select {
	case err := <-errs:
		return fmt.Errorf("acquire a permit: %w", err)
	default:
		return nil
	}
}

func (m *member) acquireAndReturnPermit(i int, service string) error {
	id := fmt.Sprintf("request-%08d", i)
	blocks := make([]uint64, prefixBlocks)
	for b := range blocks {
		blocks[b] = uint64(i%64)<<32 | uint64(b)
	}
	permit, err := m.permits.Acquire(context.Background(), &schema.PermitRequest{
		RequestId:       id,
		EntryNode:       m.place.Node,
		EntryRegion:     m.place.Region,
		Team:            "team-0001",
		Service:         service,
		Model:           "model" + service[len("service"):],
		PromptTokens:    2000,
		MaxOutputTokens: 256,
		PrefixBlocks:    blocks,
		Deadline:        durationpb.New(10 * time.Second),
	})
	if err != nil {
		return err
	}
	m.permits.Return(&schema.PermitReturn{
		Number: permit.GetNumber(), Group: permit.GetGroup(), Target: permit.GetTarget(), RequestId: id,
		Result: schema.PermitResult_PERMIT_RESULT_COMPLETED, PromptTokens: 2000, OutputTokens: 256,
		FirstToken: durationpb.New(200 * time.Millisecond), Total: durationpb.New(5 * time.Second),
		TokenGap: durationpb.New(20 * time.Millisecond), Team: "team-0001", Service: service,
	})
	return nil
}

// claimCost is the cost of claims at one offered rate.
type claimCost struct {
	// claims, writes and bytes are per second.
	claims float64
	writes float64
	bytes  float64
	p50    time.Duration
	p99    time.Duration
	failed int
}

// measureClaims sends claims at a rate per second to a cluster whose object API
// has a latency of platformDelay.
func measureClaims(rate int) (claimCost, error) {
	c, err := startCluster(claimNodes, makeConfig(claimNodes*vmsPerNode, targetTeams))
	if err != nil {
		return claimCost{}, err
	}
	defer c.stop()
	c.memory.Inject(func(objects.Operation, string) objects.Fault {
		return objects.Fault{Delay: platformDelay}
	})
	time.Sleep(settleTime)
	before := c.counters.read()
	waits, failed := c.offerClaims(rate)
	used := c.counters.read().minus(before)
	if len(waits) == 0 {
		return claimCost{}, fmt.Errorf("no claim was granted at %d claims a second", rate)
	}
	slices.Sort(waits)
	return claimCost{
		claims: float64(len(waits)) / claimTime.Seconds(),
		writes: float64(used.writes) / claimTime.Seconds(),
		bytes:  float64(used.bytes) / claimTime.Seconds(),
		p50:    waits[len(waits)/2],
		p99:    waits[len(waits)*99/100],
		failed: failed,
	}, nil
}

// offerClaims sends claims at a fixed rate for claimTime, without waiting for
// earlier ones, and returns the wait times of those granted.
func (c *cluster) offerClaims(rate int) (waits []time.Duration, failed int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := range int(claimTime.Seconds()) * rate {
		<-ticker.C
		wg.Go(func() {
			elapsed, err := c.claim(i)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				return
			}
			waits = append(waits, elapsed)
		})
	}
	wg.Wait()
	return waits, failed
}

func (c *cluster) claim(i int) (time.Duration, error) {
	entry := c.nodes[i%len(c.nodes)]
	began := time.Now()
	_, err := entry.claims.Claim(context.Background(), &schema.ClaimRequest{
		RequestId: fmt.Sprintf("claim-%08d", i),
		Team:      "team-0001",
		Digest:    []byte("12345678"),
		EntryNode: entry.place.Node,
		Attempt:   fmt.Sprintf("attempt-%08d", i),
	})
	return time.Since(began), err
}
