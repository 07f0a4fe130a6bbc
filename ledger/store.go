package ledger

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

// readSegment reads a shard's segment and those of its parts that are not in
// cached.
func (m *Manager) readSegment(ctx context.Context, number uint32, cached []*part) (*segment, error) {
	object, err := m.store.Get(ctx, segmentKey(number))
	if err != nil && !objects.IsNotFound(err) {
		return nil, err
	}
	stored := &schema.LedgerSegment{}
	if err := proto.Unmarshal(object.Value, stored); err != nil {
		return nil, err
	}
	s := &segment{version: object.Version, epoch: stored.GetEpoch(), trimmedBefore: stored.GetTrimmedBeforeUnixMs()}
	s.setEntries(decodeEntries(stored.GetEntries()))
	for _, reference := range stored.GetParts() {
		p, err := m.readPart(ctx, number, reference, cached)
		if err != nil {
			return nil, err
		}
		s.parts = append(s.parts, p)
	}
	return s, nil
}

func (m *Manager) readPart(ctx context.Context, number uint32, reference *schema.LedgerPartName, cached []*part) (*part, error) {
	name := reference.GetName()
	i := slices.IndexFunc(cached, func(p *part) bool { return p.name == name })
	if i >= 0 {
		return cached[i], nil
	}
	object, err := m.store.Get(ctx, partKey(number, name))
	if err != nil {
		return nil, err
	}
	stored := &schema.LedgerPart{}
	if err := proto.Unmarshal(object.Value, stored); err != nil {
		return nil, err
	}
	p := newPart(decodeEntries(stored.GetEntries()))
	p.name = name
	p.version = object.Version
	return p, nil
}

// writeSegment writes the new parts, and then the segment if its stored version
// is still expect.
func (m *Manager) writeSegment(ctx context.Context, number uint32, next *segment, expect objects.Version) error {
	for _, p := range next.parts {
		if p.version != 0 {
			continue
		}
		if err := m.writePart(ctx, number, p); err != nil {
			return err
		}
	}
	value, err := next.encode(number, m.node, newNonce())
	if err != nil {
		return err
	}
	next.version, err = m.store.Put(ctx, segmentKey(number), value, expect)
	return err
}

// writePart creates a part. If the response to the write is lost, a read shows
// whether the part exists: its name is unique and its content is immutable.
func (m *Manager) writePart(ctx context.Context, number uint32, p *part) error {
	value, err := p.encode()
	if err != nil {
		return err
	}
	object, err := objects.Update(ctx, m.store, objects.Change{
		Key:        partKey(number, p.name),
		Mutate:     func(objects.Object) ([]byte, error) { return value, nil },
		IsOwnWrite: func([]byte) bool { return true },
	})
	if err != nil {
		return err
	}
	p.version = object.Version
	return nil
}

// deleteParts deletes the objects of the parts in before that are not in after,
// since the stored segment does not reference them. A failure leaves an orphaned
// object behind and has no other effect.
func (m *Manager) deleteParts(number uint32, before, after []*part) {
	var unreferenced []*part
	for _, p := range before {
		if p.version != 0 && !slices.Contains(after, p) {
			unreferenced = append(unreferenced, p)
		}
	}
	if len(unreferenced) == 0 {
		return
	}
	ctx := objects.WithPriority(m.ctx, objects.PriorityHousekeeping)
	m.ioTasks.Go(func() {
		for _, p := range unreferenced {
			err := m.store.Delete(ctx, partKey(number, p.name), p.version)
			if err != nil {
				m.logger.Warn().Str("event", "ledger_part_left").Str("key", partKey(number, p.name)).Err(err).Msg("")
			}
		}
	})
}

func partKey(number uint32, name string) string {
	return segmentKey(number) + "/" + name
}
