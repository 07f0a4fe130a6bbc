package telemetry

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

const (
	meterName = "github.com/primrosemoor/primrosemoor"
	// namePrefix begins the name of each metric.
	namePrefix = "primrosemoor."
)

// exporter holds a meter whose metrics are served in the Prometheus text format.
type exporter struct {
	registry *prometheus.Registry
	provider *sdkmetric.MeterProvider
	meter    metric.Meter

	mu     sync.RWMutex
	series map[labels]series
}

// series caches the measurement options of one set of labels.
type series struct {
	add     []metric.AddOption
	record  []metric.RecordOption
	observe []metric.ObserveOption
}

func newExporter() (*exporter, error) {
	registry := prometheus.NewRegistry()
	// The process collector reports CPU time and resident memory.
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	reader, err := otelprometheus.New(otelprometheus.WithRegisterer(registry),
		otelprometheus.WithoutScopeInfo(), otelprometheus.WithoutTargetInfo())
	if err != nil {
		return nil, fmt.Errorf("prometheus exporter: %w", err)
	}
	e := &exporter{registry: registry, series: make(map[labels]series)}
	e.provider = sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader))
	e.meter = e.provider.Meter(meterName)
	return e, nil
}

// Handler returns the handler of scrapes in the Prometheus text format.
func (e *exporter) Handler() http.Handler {
	return promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{})
}

// Shutdown stops the meter provider; later measurements are dropped.
func (e *exporter) Shutdown(ctx context.Context) error {
	return e.provider.Shutdown(ctx)
}

// labels are the attributes of one series; empty ones are omitted.
type labels struct {
	tier, service, result, method, state, kind, cause, call, event string
}

// seriesFor returns the cached series of a set of labels. Label values come from
// the configuration and from enumerations, which bounds the cache.
func (e *exporter) seriesFor(l labels) series {
	e.mu.RLock()
	s, ok := e.series[l]
	e.mu.RUnlock()
	if ok {
		return s
	}
	option := l.option()
	s = series{
		add:     []metric.AddOption{option},
		record:  []metric.RecordOption{option},
		observe: []metric.ObserveOption{option},
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.series[l] = s
	return s
}

func (l labels) option() metric.MeasurementOption {
	var attributes []attribute.KeyValue
	add := func(key, value string) {
		if value != "" {
			attributes = append(attributes, attribute.String(key, value))
		}
	}
	add("tier", l.tier)
	add("service", l.service)
	add("result", l.result)
	add("method", l.method)
	add("state", l.state)
	add("kind", l.kind)
	add("cause", l.cause)
	add("call", l.call)
	add("event", l.event)
	return metric.WithAttributeSet(attribute.NewSet(attributes...))
}
