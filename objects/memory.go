package objects

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/delay"
)

// Operation is a kind of call to the object API.
type Operation string

// The operations that are passed to an Injector.
const (
	OperationGet    Operation = "get"
	OperationPut    Operation = "put"
	OperationDelete Operation = "delete"
	OperationList   Operation = "list"
	OperationWatch  Operation = "watch"
	OperationVMs    Operation = "vms"
)

// Fault is an injected fault of one call to a Memory. The zero Fault has no
// effect.
type Fault struct {
	// Delay is the time before the call reaches the store.
	Delay time.Duration
	// Unavailable fails the call without effect.
	Unavailable bool
	// Throttled rejects the call without effect.
	Throttled bool
	// LoseResponse applies a write and loses the response.
	LoseResponse bool
	// LateEffect, if positive, loses a write's response immediately and applies
	// the write after this time, if the version still matches then.
	LateEffect time.Duration
}

// Injector returns the fault of a call.
type Injector func(operation Operation, key string) Fault

var (
	errInjected     = errors.New("platform: injected fault")
	errResponseLost = errors.New("platform: injected loss of the answer")
)

// Memory is an in-memory Store for development mode and tests. It is safe for
// concurrent use.
type Memory struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]memoryObject
	vms      []VMStatus
	changed  chan struct{}
	injector Injector
	calls    map[Operation]uint64
}

// memoryObject is a stored object. A deleted object is kept as a tombstone, which
// watches report.
type memoryObject struct {
	revision uint64
	deleted  bool
	value    []byte
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		objects: make(map[string]memoryObject),
		changed: make(chan struct{}),
		calls:   make(map[Operation]uint64),
	}
}

// Inject makes later calls have the faults that injector returns; nil stops the
// injection.
func (m *Memory) Inject(injector Injector) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.injector = injector
}

// SetVMs replaces the list of VMs.
func (m *Memory) SetVMs(vms []VMStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms = slices.Clone(vms)
}

// Calls returns the number of calls of an operation so far.
func (m *Memory) Calls(operation Operation) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls[operation]
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) (Object, error) {
	if _, err := m.beginCall(ctx, OperationGet, key); err != nil {
		return Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	if !ok || o.deleted {
		return Object{}, errNotFound(key)
	}
	return o.object(key), nil
}

// Put implements Store.
func (m *Memory) Put(ctx context.Context, key string, value []byte, expect Version) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, errTooLarge(key)
	}
	write := func() (Version, error) { return m.write(key, value, expect, false) }
	return m.conditionalWrite(ctx, OperationPut, key, write)
}

// Delete implements Store.
func (m *Memory) Delete(ctx context.Context, key string, expect Version) error {
	write := func() (Version, error) { return m.write(key, nil, expect, true) }
	_, err := m.conditionalWrite(ctx, OperationDelete, key, write)
	return err
}

// List implements Store.
func (m *Memory) List(ctx context.Context, prefix string) ([]Object, error) {
	if _, err := m.beginCall(ctx, OperationList, prefix); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	objects := m.changedSince(prefix, 0)
	return slices.DeleteFunc(objects, func(o Object) bool { return o.Version == 0 }), nil
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, prefix string, cursor uint64, wait time.Duration) (Changes, error) {
	if _, err := m.beginCall(ctx, OperationWatch, prefix); err != nil {
		return Changes{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed := m.changes(prefix, cursor)
		if len(changes.Objects) > 0 {
			return changes, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return changes, nil
		case <-ctx.Done():
			return Changes{}, errUnavailable(ctx.Err())
		}
	}
}

// VMs implements Store.
func (m *Memory) VMs(ctx context.Context) ([]VMStatus, error) {
	if _, err := m.beginCall(ctx, OperationVMs, ""); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.vms), nil
}

// beginCall counts the call and applies the part of its fault that comes before
// the call's effect.
func (m *Memory) beginCall(ctx context.Context, operation Operation, key string) (Fault, error) {
	m.mu.Lock()
	m.calls[operation]++
	injector := m.injector
	m.mu.Unlock()
	if injector == nil {
		return Fault{}, nil
	}
	f := injector(operation, key)
	if !delay.Sleep(ctx, f.Delay) {
		return f, errUnavailable(ctx.Err())
	}
	if f.Unavailable {
		return f, errUnavailable(errInjected)
	}
	if f.Throttled {
		return f, errThrottled(0)
	}
	return f, nil
}

func (m *Memory) conditionalWrite(ctx context.Context, operation Operation, key string, write func() (Version, error)) (Version, error) {
	f, err := m.beginCall(ctx, operation, key)
	if err != nil {
		return 0, err
	}
	if f.LateEffect > 0 {
		time.AfterFunc(f.LateEffect, func() { _, _ = write() })
		return 0, errUnknownEffect(errResponseLost, key)
	}
	version, err := write()
	if f.LoseResponse {
		return 0, errUnknownEffect(errResponseLost, key)
	}
	return version, err
}

func (m *Memory) write(key string, value []byte, expect Version, remove bool) (Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.objects[key]
	if current.version() != expect {
		return 0, errConflict(key)
	}
	m.revision++
	next := memoryObject{revision: m.revision, deleted: remove, value: bytes.Clone(value)}
	m.objects[key] = next
	close(m.changed)
	m.changed = make(chan struct{})
	return next.version(), nil
}

func (m *Memory) changes(prefix string, cursor uint64) (Changes, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Changes{Cursor: m.revision, Objects: m.changedSince(prefix, cursor)}, m.changed
}

func (m *Memory) changedSince(prefix string, cursor uint64) []Object {
	var objects []Object
	for key, o := range m.objects {
		if strings.HasPrefix(key, prefix) && o.revision > cursor {
			objects = append(objects, o.object(key))
		}
	}
	slices.SortFunc(objects, func(a, b Object) int { return cmp.Compare(a.Key, b.Key) })
	return objects
}

func (o memoryObject) version() Version {
	if o.deleted {
		return 0
	}
	return Version(o.revision)
}

func (o memoryObject) object(key string) Object {
	return Object{Key: key, Version: o.version(), Value: bytes.Clone(o.value)}
}
