package register

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/schema"
)

// targetConfig returns a configuration of the target's size.
func targetConfig(vms, teams int) *schema.Config {
	c := &schema.Config{
		Tiers: []*schema.Tier{{Name: "interactive"}, {Name: "standard", Rank: 1}, {Name: "batch", Rank: 2}},
	}
	engine := &schema.Service{Name: "engine", Kind: schema.ServiceKind_SERVICE_KIND_ENGINE, Tier: "standard"}
	for i := range 27 {
		engine.Models = append(engine.Models, fmt.Sprintf("model-%02d", i))
	}
	c.Services = []*schema.Service{engine}
	for i := range 13 {
		c.AvailabilityZones = append(c.AvailabilityZones,
			&schema.AvailabilityZone{Name: fmt.Sprintf("zone-%02d", i), Region: fmt.Sprintf("region-%d", i/2)})
	}
	for i := range teams {
		c.Teams = append(c.Teams, &schema.Team{
			Name:              fmt.Sprintf("team-%04d", i),
			KeyHashes:         []string{fmt.Sprintf("%064x", i)},
			Weight:            1,
			RequestsPerSecond: 10,
			TokensPerSecond:   1000,
			Tiers:             []*schema.TeamTier{{Tier: "interactive"}},
		})
	}
	for i := range vms {
		c.Vms = append(c.Vms, &schema.VM{
			Name:             fmt.Sprintf("worker-%04d", i),
			AvailabilityZone: c.AvailabilityZones[i%13].Name,
			State:            schema.VMState_VM_STATE_ACTIVE,
			Generation:       fmt.Sprintf("gen-%d", i%5),
			Workloads: []*schema.Workload{{
				Service: "engine",
				Address: fmt.Sprintf("10.%d.%d.%d:8000", i/65536, i/256%256, i%256),
				Models:  []string{engine.Models[i%27], engine.Models[(i+1)%27]},
			}},
		})
	}
	Sort(c)
	return c
}

// nextOf returns the revision that a change of one VM leads to.
func nextOf(h *held, vm int) *held {
	want := proto.CloneOf(h.config)
	want.Vms[vm].State = schema.VMState_VM_STATE_LEAVING
	return firstOf(h.head, want, h.parts)
}

func firstOf(old *schema.ConfigHead, want *schema.Config, before map[string]*part) *held {
	w := &writer{nonce: "nonce-of-12b", author: "operator"}
	next := w.nextHead(old, want)
	parts := make(map[string]*part)
	for name, p := range before {
		parts[name] = p
	}
	for _, p := range next.fresh {
		parts[p.ref.GetName()] = p
	}
	return newHeld(next.head, parts)
}

// BenchmarkAdopt measures what a node spends on one change of one VM: joining
// the delta and checking the whole. It reports the sizes shipped.
func BenchmarkAdopt(b *testing.B) {
	for _, vms := range []int{15, 650, 1300, 2600, 5200} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			config := targetConfig(vms, max(5, vms*1500/5200))
			base := firstOf(&schema.ConfigHead{}, config, nil)
			next := nextOf(base, vms/2)
			raw := marshal(next.deltaSince(1))
			b.ReportAllocs()
			for b.Loop() {
				delta := &schema.ConfigDelta{}
				if err := proto.Unmarshal(raw, delta); err != nil {
					b.Fatal(err)
				}
				h, err := base.amend(delta)
				if err != nil {
					b.Fatal(err)
				}
				if err := Check(h.config); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "delta-B")
			b.ReportMetric(float64(len(encodeHead(next.head))), "head-B")
			b.ReportMetric(float64(len(marshal(next.deltaSince(0)))), "whole-B")
		})
	}
}

func TestChangeOfOneVMShipsOneBucket(t *testing.T) {
	base := firstOf(&schema.ConfigHead{}, targetConfig(5200, 1500), nil)
	delta := nextOf(base, 100).deltaSince(1)
	if n := len(delta.GetContents()); n != 1 {
		t.Fatalf("the delta holds %d parts", n)
	}
	if size := proto.Size(delta); size > 4096 {
		t.Fatalf("the delta holds %d bytes", size)
	}
}

func TestDeltaAcrossANewNumberOfBucketsIsComplete(t *testing.T) {
	small := firstOf(&schema.ConfigHead{}, targetConfig(20, 5), nil)
	large := firstOf(small.head, targetConfig(60, 5), small.parts)
	if large.head.GetVmBuckets() == small.head.GetVmBuckets() {
		t.Fatal("the number of buckets did not change")
	}
	got, err := small.amend(large.deltaSince(1))
	if err != nil {
		t.Fatal(err)
	}
	if diff := Diff(large.config, got.config); len(diff) > 0 {
		t.Fatal(diff)
	}
	again := firstOf(large.head, targetConfig(20, 5), large.parts)
	got, err = large.amend(again.deltaSince(2))
	if err != nil || len(Diff(again.config, got.config)) > 0 {
		t.Fatal(err)
	}
}

func TestDamagedOrForeignDeltaIsNotJoined(t *testing.T) {
	base := firstOf(&schema.ConfigHead{}, targetConfig(100, 5), nil)
	other := firstOf(&schema.ConfigHead{}, targetConfig(101, 5), nil)
	next := nextOf(base, 1)
	if _, err := other.amend(next.deltaSince(1)); err == nil {
		t.Fatal("a delta joined a revision of other content")
	}
	delta := next.deltaSince(1)
	delta.Contents[0].Content = append([]byte{8, 1}, delta.Contents[0].Content...)
	if _, err := base.amend(delta); err == nil {
		t.Fatal("a damaged part was taken")
	}
}
