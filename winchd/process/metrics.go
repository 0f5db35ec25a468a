package process

import (
	"context"
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"github.com/arbutuswinch/winch/httpjson"
)

const meterName = "winchd"

// Metrics holds the meter of the process and the handlers that expose its metrics.
type Metrics struct {
	provider *sdkmetric.MeterProvider
	handler  http.Handler
	runtime  http.Handler
}

// NewMetrics returns the metrics of the process. Those of the Go runtime are kept apart, so that a scrape that is cut off
// at a size still contains the ones of the product.
func NewMetrics() (*Metrics, error) {
	runtime := prometheus.NewRegistry()
	runtime.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo(), otelprometheus.WithoutTargetInfo())
	if err != nil {
		return nil, fmt.Errorf("create metrics exporter: %w", err)
	}
	return &Metrics{
		provider: sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		runtime:  promhttp.HandlerFor(runtime, promhttp.HandlerOpts{}),
	}, nil
}

// Meter returns the meter of the process.
func (m *Metrics) Meter() metric.Meter { return m.provider.Meter(meterName) }

// Handler serves the metrics of the product in the Prometheus format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// RuntimeHandler serves the metrics of the Go runtime and of the process in the Prometheus format.
func (m *Metrics) RuntimeHandler() http.Handler { return m.runtime }

// ObserveTraffic exports the number of bytes exchanged with other hosts and the platform.
func (m *Metrics) ObserveTraffic(traffic *httpjson.Traffic) error {
	counter, err := m.Meter().Int64ObservableCounter("winch.control.bytes", metric.WithUnit("By"),
		metric.WithDescription("bytes sent and received on connections to other hosts and to the platform"))
	if err != nil {
		return fmt.Errorf("create traffic metric: %w", err)
	}
	_, err = m.Meter().RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		observer.ObserveInt64(counter, traffic.Sent()+traffic.Received())
		return nil
	}, counter)
	if err != nil {
		return fmt.Errorf("register traffic metric: %w", err)
	}
	return nil
}
