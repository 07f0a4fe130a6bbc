package mesh

import (
	"strconv"
	"time"

	"github.com/primrosemoor/primrosemoor/schema"
)

// encoder sends each id in full once per stream and as a short numeric ref
// afterwards.
type encoder struct {
	refs map[string]uint32
	// reports holds the last reports of targets' loads that were sent.
	reports map[reportKey]sentReport
}

func newEncoder() *encoder {
	return &encoder{refs: make(map[string]uint32), reports: make(map[reportKey]sentReport)}
}

// ref returns the ref of an id, and the id itself if it is new on the stream.
func (e *encoder) ref(id string) (uint32, string) {
	if r, ok := e.refs[id]; ok {
		return r, ""
	}
	r := uint32(len(e.refs) + 1)
	e.refs[id] = r
	return r, id
}

// use encodes changed sums of a source, which is empty for this node; it returns nil if
// there are none.
func (e *encoder) use(source string, c changes) *schema.MeshUse {
	if c.empty() {
		return nil
	}
	u, now := &schema.MeshUse{}, time.Now()
	for id, t := range c.targets {
		m := &schema.MeshTarget{
			Requests: uint32(t.Requests), PromptTokens: uint32(t.PromptTokens), StepMicros: uint32(t.StepMicros), LimitMillis: uint32(t.LimitMillis),
			Brittle: t.Brittle, MemoryTokens: uint32(t.MemoryTokens),
		}
		e.report(m, reportKey{source, id}, t.Report, now)
		m.Ref, m.Id = e.ref("target/" + id)
		if m.Id != "" {
			m.Id = id
		}
		u.Targets = append(u.Targets, m)
	}
	for name, t := range c.teams {
		m := &schema.MeshTeam{Booked: t.Booked, Returned: t.Returned, ReturnedDelay: t.ReturnedDelay, Level: t.Level}
		m.Ref, m.Name = e.ref("team/" + name)
		if m.Name != "" {
			m.Name = name
		}
		u.Teams = append(u.Teams, m)
	}
	for q, waiting := range c.queues {
		m := &schema.MeshQueue{Tier: uint32(q.Tier), Waiting: uint32(waiting)}
		m.Ref, m.Service = e.ref("queue/" + q.Service)
		if m.Service != "" {
			m.Service = q.Service
		}
		u.Queues = append(u.Queues, m)
	}
	for k, share := range c.shares {
		m := &schema.MeshShare{Tier: uint32(k.Tier), GrantedMillis: uint64(share.GrantedMillis), WaitingMillis: uint64(share.WaitingMillis)}
		var announced string
		if m.Ref, announced = e.ref("share/" + strconv.Quote(k.Service) + "/" + k.Team); announced != "" {
			m.Service, m.Team = k.Service, k.Team
		}
		u.Shares = append(u.Shares, m)
	}
	return u
}

// decoder maps the refs of a stream to ids.
type decoder struct {
	ids    map[uint32]string
	shares map[uint32]ShareKey
}

func newDecoder() *decoder {
	return &decoder{ids: make(map[uint32]string), shares: make(map[uint32]ShareKey)}
}

// id returns the id of a ref, which it stores first if the message carries the id.
func (d *decoder) id(ref uint32, announcedID string) (string, bool) {
	if announcedID != "" {
		d.ids[ref] = announcedID
	}
	id, ok := d.ids[ref]
	return id, ok
}

// share returns the key of a share, which it stores first if the message carries it.
func (d *decoder) share(m *schema.MeshShare) (ShareKey, bool) {
	if m.GetService() != "" {
		d.shares[m.GetRef()] = ShareKey{Service: m.GetService(), Team: m.GetTeam()}
	}
	k, ok := d.shares[m.GetRef()]
	k.Tier = int(m.GetTier())
	return k, ok
}

// use decodes changed sums; those with an unknown ref are skipped.
func (d *decoder) use(u *schema.MeshUse) changes {
	c := changes{targets: make(map[string]TargetUse), teams: make(map[string]TeamUse), queues: make(map[Queue]int), shares: make(map[ShareKey]Share)}
	now := time.Now()
	for _, m := range u.GetTargets() {
		if id, ok := d.id(m.GetRef(), m.GetId()); ok {
			c.targets[id] = TargetUse{
				Requests: int(m.GetRequests()), PromptTokens: int(m.GetPromptTokens()), StepMicros: int(m.GetStepMicros()), LimitMillis: int(m.GetLimitMillis()),
				Brittle: m.GetBrittle(), MemoryTokens: int(m.GetMemoryTokens()), Report: decodeReport(m, now),
			}
		}
	}
	for _, m := range u.GetTeams() {
		if name, ok := d.id(m.GetRef(), m.GetName()); ok {
			c.teams[name] = TeamUse{teamCounts{m.GetBooked(), m.GetReturned(), m.GetReturnedDelay()}, m.Level}
		}
	}
	for _, m := range u.GetQueues() {
		if service, ok := d.id(m.GetRef(), m.GetService()); ok {
			c.queues[Queue{service, int(m.GetTier())}] = int(m.GetWaiting())
		}
	}
	for _, m := range u.GetShares() {
		if k, ok := d.share(m); ok {
			c.shares[k] = Share{int(m.GetGrantedMillis()), int(m.GetWaitingMillis())}
		}
	}
	return c
}
