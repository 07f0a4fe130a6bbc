package settings

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/schema"
)

// durationRange is the allowed range of one duration, both ends included.
type durationRange struct {
	key      string
	min, max time.Duration
}

// numberRange is the allowed range of one number, both ends included.
type numberRange struct {
	key      string
	min, max float64
}

var durationRanges = []durationRange{
	{"http.read_timeout", 100 * time.Millisecond, time.Hour},
	{"http.idle_timeout", time.Second, 24 * time.Hour},
	{"http.max_stream_duration", time.Second, 24 * time.Hour},
	{"http.default_deadline", 100 * time.Millisecond, time.Hour},
	{"peer.dial_timeout", 10 * time.Millisecond, time.Minute},
	{"peer.call_timeout", 10 * time.Millisecond, time.Minute},
	{"platform.call_timeout", 10 * time.Millisecond, time.Minute},
	{"platform.watch_timeout", time.Second, 10 * time.Minute},
	{"membership.heartbeat_interval", 50 * time.Millisecond, time.Minute},
	{"membership.suspect_after", 100 * time.Millisecond, 10 * time.Minute},
	{"membership.report_interval", 100 * time.Millisecond, time.Minute},
	{"membership.isolated_after", time.Second, time.Hour},
	{"ledger.retention", time.Minute, 30 * 24 * time.Hour},
	{"ledger.commit_interval", time.Millisecond, 10 * time.Second},
	{"scheduling.permit_timeout", 10 * time.Millisecond, 10 * time.Minute},
	{"scheduling.first_token_goal", time.Millisecond, 10 * time.Minute},
	{"scheduling.inter_token_goal", time.Millisecond, time.Minute},
	{"shutdown.readiness_delay", 0, 10 * time.Minute},
	{"shutdown.drain_timeout", time.Second, 24 * time.Hour},
}

var numberRanges = []numberRange{
	{"http.max_body_bytes", kibibyte, 1 << 30},
	{"http.max_header_bytes", kibibyte, mebibyte},
	{"platform.calls_per_second", 0.1, 10_000},
	{"platform.bytes_per_second", kibibyte, 1 << 30},
	{"ledger.shards", 1, 1024},
	{"ledger.max_stored_outcome_bytes", 0, mebibyte},
	{"scheduling.max_queue_requests", 1, 10_000_000},
	{"scheduling.cross_region_price", 0, 1000},
	{"scheduling.max_group_targets", 1, 256},
}

// lookup returns the value at a key of the form "section.name".
func lookup(s *schema.Settings, key string) protoreflect.Value {
	section, name, _ := strings.Cut(key, ".")
	top := s.ProtoReflect()
	m := top.Get(top.Descriptor().Fields().ByName(protoreflect.Name(section))).Message()
	return m.Get(m.Descriptor().Fields().ByName(protoreflect.Name(name)))
}

func (c *checker) checkRanges() {
	for _, bounds := range durationRanges {
		d := lookup(c.settings, bounds.key).Message().Interface().(*durationpb.Duration).AsDuration()
		if d < bounds.min || d > bounds.max {
			c.report(bounds.key, fmt.Sprintf("%v is out of range", d),
				fmt.Sprintf("write a duration from %v to %v", bounds.min, bounds.max))
		}
	}
	for _, bounds := range numberRanges {
		v := toFloat(lookup(c.settings, bounds.key))
		if v < bounds.min || v > bounds.max {
			c.report(bounds.key, fmt.Sprintf("%v is out of range", v),
				fmt.Sprintf("write a number from %v to %v", bounds.min, bounds.max))
		}
	}
}

func toFloat(v protoreflect.Value) float64 {
	switch n := v.Interface().(type) {
	case uint32:
		return float64(n)
	case uint64:
		return float64(n)
	default:
		return v.Float()
	}
}
