package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/ledger"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// LedgerCase is the configuration of one measurement of claims. CommitInterval
// is the ledger's setting of that name.
type LedgerCase struct {
	Shards           uint32
	OfferedPerSecond int
	CommitInterval   time.Duration
	Duration         time.Duration
}

// LedgerResult is the result of one LedgerCase.
type LedgerResult struct {
	Shards            uint32  `json:"shards"`
	CommitIntervalMs  int64   `json:"commit_interval_ms"`
	OfferedPerSecond  int     `json:"offered_per_s"`
	ClaimsPerSecond   float64 `json:"claims_per_s"`
	Refused           int     `json:"refused"`
	WritesPerSecond   float64 `json:"platform_writes_per_s"`
	ReadsPerSecond    float64 `json:"platform_reads_per_s"`
	BytesPerSecond    float64 `json:"platform_bytes_per_s"`
	WaitP50Ms         float64 `json:"wait_p50_ms"`
	WaitP99Ms         float64 `json:"wait_p99_ms"`
	WaitMaxMs         float64 `json:"wait_max_ms"`
	ProcessorPerClaim float64 `json:"processor_us_per_claim"`
}

// claimLoad sends claims at a fixed rate (open loop), independent of how long
// they take.
type claimLoad struct {
	manager *ledger.Manager
	mu      sync.Mutex
	waits   []time.Duration
	refused int
}

// MeasureLedger measures a single node that owns all shards.
func MeasureLedger(ctx context.Context, c LedgerCase) LedgerResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store := &countingStore{Store: newStore()}
	manager := ledger.New(ledger.Options{Node: "n", Store: store, Settings: &schema.LedgerSettings{
		Shards:         c.Shards,
		CommitInterval: durationpb.New(c.CommitInterval),
	}})
	go func() { _ = manager.Run(ctx) }()
	members := []*schema.Member{{Node: "n", State: schema.MemberState_MEMBER_STATE_ACTIVE}}
	manager.ApplyTopology(topology.Build(&schema.Config{}, members, topology.Options{}))
	before, processor, begin := store.usage(), cpuTime(), time.Now()
	l := &claimLoad{manager: manager}
	l.run(ctx, c)
	seconds := time.Since(begin).Seconds()
	used := store.usage().minus(before)
	waits := sorted(l.waits)
	return LedgerResult{
		Shards:            c.Shards,
		CommitIntervalMs:  c.CommitInterval.Milliseconds(),
		OfferedPerSecond:  c.OfferedPerSecond,
		ClaimsPerSecond:   float64(len(waits)) / seconds,
		Refused:           l.refused,
		WritesPerSecond:   float64(used.writes) / seconds,
		ReadsPerSecond:    float64(used.reads) / seconds,
		BytesPerSecond:    float64(used.sent+used.received) / seconds,
		WaitP50Ms:         quantile(waits, 0.5),
		WaitP99Ms:         quantile(waits, 0.99),
		WaitMaxMs:         quantile(waits, 1),
		ProcessorPerClaim: float64((cpuTime() - processor).Microseconds()) / float64(max(1, len(waits))),
	}
}

// run sends claims for the duration of the case and waits until all have
// completed.
func (l *claimLoad) run(ctx context.Context, c LedgerCase) {
	var group sync.WaitGroup
	begin := time.Now()
	for sent := 0; time.Since(begin) < c.Duration; {
		due := int(time.Since(begin).Seconds() * float64(c.OfferedPerSecond))
		for ; sent < due; sent++ {
			id := fmt.Sprintf("id-%d", sent)
			group.Go(func() { l.claim(ctx, id) })
		}
		time.Sleep(time.Millisecond)
	}
	group.Wait()
}

func (l *claimLoad) claim(ctx context.Context, id string) {
	begin := time.Now()
	_, err := l.manager.Claim(ctx, &schema.ClaimRequest{
		RequestId: id, Team: "team", Digest: []byte(id), EntryNode: "n", Attempt: id,
	})
	wait := time.Since(begin)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.refused++
		return
	}
	l.waits = append(l.waits, wait)
}
