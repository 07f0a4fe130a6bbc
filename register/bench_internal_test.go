package register

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/schema"
)

// syntheticConfig returns a configuration with the given numbers of VMs and
// teams.
func syntheticConfig(vms, teams int) *schema.Config {
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

// withVMLeaving returns the next revision, in which one VM is leaving.
func withVMLeaving(s *snapshot, vm int) *snapshot {
	want := proto.CloneOf(s.config)
	want.Vms[vm].State = schema.VMState_VM_STATE_LEAVING
	return buildSnapshot(s.head, want, s.parts)
}

func buildSnapshot(previous *schema.ConfigHead, want *schema.Config, previousParts map[string]*part) *snapshot {
	w := &writer{nonce: "nonce-of-12b", author: "operator"}
	next := w.nextHead(previous, want)
	parts := make(map[string]*part)
	for name, p := range previousParts {
		parts[name] = p
	}
	for _, p := range next.newParts {
		parts[p.ref.GetName()] = p
	}
	return newSnapshot(next.head, parts)
}

// BenchmarkAdopt measures a node's cost of one change of one VM: decoding and
// applying the delta and checking the whole configuration. It also reports the
// sizes in bytes of the delta, the head and the whole configuration.
func BenchmarkAdopt(b *testing.B) {
	for _, vms := range []int{15, 650, 1300, 2600, 5200} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			config := syntheticConfig(vms, max(5, vms*1500/5200))
			base := buildSnapshot(&schema.ConfigHead{}, config, nil)
			next := withVMLeaving(base, vms/2)
			raw := marshal(next.deltaSince(1))
			b.ReportAllocs()
			for b.Loop() {
				delta := &schema.ConfigDelta{}
				if err := proto.Unmarshal(raw, delta); err != nil {
					b.Fatal(err)
				}
				s, err := base.applyDelta(delta)
				if err != nil {
					b.Fatal(err)
				}
				if err := Check(s.config); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "delta-B")
			b.ReportMetric(float64(len(encodeHead(next.head))), "head-B")
			b.ReportMetric(float64(len(marshal(next.deltaSince(0)))), "whole-B")
		})
	}
}

func TestChangeOfOneVMSendsOneBucket(t *testing.T) {
	base := buildSnapshot(&schema.ConfigHead{}, syntheticConfig(5200, 1500), nil)
	delta := withVMLeaving(base, 100).deltaSince(1)
	if n := len(delta.GetContents()); n != 1 {
		t.Fatalf("the delta contains %d parts", n)
	}
	if size := proto.Size(delta); size > 4096 {
		t.Fatalf("the delta has %d bytes", size)
	}
}

func TestDeltaAcrossANewNumberOfBucketsIsComplete(t *testing.T) {
	small := buildSnapshot(&schema.ConfigHead{}, syntheticConfig(20, 5), nil)
	large := buildSnapshot(small.head, syntheticConfig(60, 5), small.parts)
	if large.head.GetVmBuckets() == small.head.GetVmBuckets() {
		t.Fatal("the number of buckets did not change")
	}
	got, err := small.applyDelta(large.deltaSince(1))
	if err != nil {
		t.Fatal(err)
	}
	if diff := Diff(large.config, got.config); len(diff) > 0 {
		t.Fatal(diff)
	}
	again := buildSnapshot(large.head, syntheticConfig(20, 5), large.parts)
	got, err = large.applyDelta(again.deltaSince(2))
	if err != nil || len(Diff(again.config, got.config)) > 0 {
		t.Fatal(err)
	}
}

func TestCorruptedOrMismatchedDeltaIsNotApplied(t *testing.T) {
	base := buildSnapshot(&schema.ConfigHead{}, syntheticConfig(100, 5), nil)
	other := buildSnapshot(&schema.ConfigHead{}, syntheticConfig(101, 5), nil)
	next := withVMLeaving(base, 1)
	if _, err := other.applyDelta(next.deltaSince(1)); err == nil {
		t.Fatal("a delta was applied to a revision with other content")
	}
	delta := next.deltaSince(1)
	delta.Contents[0].Content = append([]byte{8, 1}, delta.Contents[0].Content...)
	if _, err := base.applyDelta(delta); err == nil {
		t.Fatal("a corrupted part was accepted")
	}
}
