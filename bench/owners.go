package bench

import (
	"fmt"
	"strconv"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/admission"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

const (
	service       = "llm"
	model         = "m"
	tiers         = 3
	tokenTimeGoal = 27 * time.Millisecond
	// localLatency and regionLatency are one-way network delays within a region and
	// between regions.
	localLatency  = 1500 * time.Microsecond
	regionLatency = 20 * time.Millisecond
	tickInterval  = 50 * time.Millisecond
)

var epoch = time.Unix(1_800_000_000, 0)

// owners is the policy under test. It runs one admission.Owner in each region, as
// nodes do.
type owners struct {
	s       *simulation
	owners  []*admission.Owner
	config  *schema.Config
	members []*schema.Member
	engines map[string]*engine
	active  map[*request]*activePermit
}

// activePermit is a permit in use.
type activePermit struct {
	owner     int
	permit    *schema.Permit
	startedAt time.Duration
}

func newOwners() policy { return &owners{} }

func (o *owners) name() string { return "primrosemoor" }

func (o *owners) attach(s *simulation) {
	o.s = s
	o.engines = make(map[string]*engine)
	o.active = make(map[*request]*activePermit)
	o.buildConfig()
	for region := range s.scenario.mix.fleet {
		o.owners = append(o.owners, admission.NewOwner(admission.OwnerOptions{
			Node:             node(region),
			Settings:         &schema.SchedulingSettings{CrossRegionPrice: 1},
			PermitNumberBase: uint64(region) << 32,
			SendFloorUpdate:  o.floorSender(region),
		}))
	}
	o.targetsChanged()
	o.tick()
}

// buildConfig builds the configuration and the members: one VM for each engine and
// one node for each region.
func (o *owners) buildConfig() {
	o.config = &schema.Config{
		Revision: 1,
		Tiers:    []*schema.Tier{{Name: "t0"}, {Name: "t1", Rank: 1}, {Name: "t2", Rank: 2}},
		Services: []*schema.Service{{Name: service, Kind: schema.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{model}}},
	}
	for region := range o.s.scenario.mix.fleet {
		o.config.AvailabilityZones = append(o.config.AvailabilityZones,
			&schema.AvailabilityZone{Name: zone(region), Region: zone(region)})
		o.members = append(o.members, &schema.Member{Node: node(region), AvailabilityZone: zone(region),
			Region: zone(region), State: schema.MemberState_MEMBER_STATE_ACTIVE})
	}
	for _, e := range o.s.engines {
		e.name = fmt.Sprintf("vm%02d", e.index)
		o.engines[e.name+"/"+service] = e
		o.config.Vms = append(o.config.Vms, &schema.VM{Name: e.name, AvailabilityZone: zone(e.region),
			Workloads: []*schema.Workload{{Service: service, Models: []string{model}}}})
	}
}

func node(region int) string { return fmt.Sprintf("n%d", region) }
func zone(region int) string { return fmt.Sprintf("z%d", region) }
func group(region int) string {
	return fmt.Sprintf("%s/%s/0", service, zone(region))
}

func (o *owners) clock() time.Time { return epoch.Add(o.s.now) }

// targetsChanged applies the current topology to all owners.
func (o *owners) targetsChanged() {
	var leaving []string
	for _, e := range o.s.engines {
		if e.leaving {
			leaving = append(leaving, e.name)
		}
	}
	snapshot := topology.Build(o.config, o.members, topology.Options{LeavingVMs: leaving})
	for _, owner := range o.owners {
		owner.Apply(o.clock(), snapshot)
	}
}

func (o *owners) tick() {
	for _, owner := range o.owners {
		owner.Tick(o.clock())
	}
	o.s.after(tickInterval, o.tick)
}

// floorSender returns a function that delivers a region's floor updates to the other
// regions' owners, and their replies back, with the latency between regions.
func (o *owners) floorSender(from int) admission.SendFloorUpdate {
	return func(sent time.Time, to string, u *schema.FloorUpdate) {
		o.s.after(regionLatency, func() {
			for region, owner := range o.owners {
				if node(region) != to {
					continue
				}
				ack := owner.HandleFloorUpdate(o.clock(), node(from), u)
				o.s.after(regionLatency, func() {
					o.owners[from].HandleFloorAck(o.clock(), sent, to, service, ack)
				})
			}
		})
	}
}

func (o *owners) requestArrived(r *request) {
	o.requestPermit(r, r.region, 0)
}

func latency(a, b int) time.Duration {
	if a == b {
		return localLatency
	}
	return regionLatency
}

// requestPermit sends a permit request to a region's owner.
func (o *owners) requestPermit(r *request, region, hops int) {
	o.s.after(latency(r.region, region), func() {
		if r.abandoned {
			return
		}
		now := o.clock()
		w := admission.NewWaiter(now, o.permitRequest(r, region, hops), func(reply *schema.PermitReply, err error) {
			o.s.after(latency(r.region, region), func() { o.onReply(r, region, hops, reply, err) })
		})
		o.owners[region].Enqueue(now, w)
	})
}

func (o *owners) permitRequest(r *request, region, hops int) *schema.PermitRequest {
	return &schema.PermitRequest{
		Group: group(region), RequestId: strconv.Itoa(r.id), Team: teamName(r.team*tiers + r.tier), Service: service, Model: model,
		Tier: uint32(r.tier), PromptTokens: uint32(r.promptTokens), MaxOutputTokens: uint32(r.maxOutputTokens),
		PrefixBlocks: r.blocks, Waited: durationpb.New(o.s.now - r.arrived), Deadline: durationpb.New(r.deadline - o.s.now),
		EntryRegion: zone(r.region), BodyBytes: uint64(r.promptTokens * 4), Hops: uint32(hops), EntryNode: node(r.region), StatedDeadline: true,
	}
}

func (o *owners) onReply(r *request, region, hops int, reply *schema.PermitReply, err error) {
	switch {
	case err != nil:
		o.s.refuse(r)
	case reply.GetRedirectGroup() != "":
		for other := range o.owners {
			if group(other) == reply.GetRedirectGroup() {
				o.requestPermit(r, other, hops+1)
			}
		}
	case r.abandoned:
		o.returnPermit(region, &schema.PermitReturn{Number: reply.GetPermit().GetNumber(), Group: group(region),
			Result: schema.PermitResult_PERMIT_RESULT_UNUSED})
	default:
		o.active[r] = &activePermit{region, reply.GetPermit(), o.s.now}
		o.s.start(r, o.engines[reply.GetPermit().GetTarget()])
	}
}

func (o *owners) returnPermit(region int, back *schema.PermitReturn) {
	o.s.after(localLatency, func() { o.owners[region].Return(o.clock(), back) })
}

func (o *owners) requestFinished(r *request) {
	g, ok := o.active[r]
	if !ok {
		return
	}
	delete(o.active, r)
	back := &schema.PermitReturn{
		Number: g.permit.GetNumber(), Group: g.permit.GetGroup(), Team: teamName(r.team*tiers + r.tier), Service: service,
		Result:       schema.PermitResult_PERMIT_RESULT_CANCELLED,
		PromptTokens: uint32(r.promptTokens), CachedTokens: uint32(r.cachedTokens), OutputTokens: uint32(r.emittedTokens),
	}
	if r.doneAt > 0 {
		back.Result = schema.PermitResult_PERMIT_RESULT_COMPLETED
		back.FirstToken = durationpb.New(r.firstTokenAt - g.startedAt)
		back.Total = durationpb.New(r.doneAt - g.startedAt)
		back.TokenGap = durationpb.New(r.meanGap())
	}
	o.returnPermit(g.owner, back)
}
