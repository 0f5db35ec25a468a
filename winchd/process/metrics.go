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

// Metrics holds the meter of the process and the handler that exposes its metrics.
type Metrics struct {
	provider *sdkmetric.MeterProvider
	handler  http.Handler
}

// NewMetrics returns the metrics of the process, including those of the Go runtime.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, fmt.Errorf("create metrics exporter: %w", err)
	}
	return &Metrics{
		provider: sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}, nil
}

// Meter returns the meter of the process.
func (m *Metrics) Meter() metric.Meter { return m.provider.Meter(meterName) }

// Handler serves the metrics in the Prometheus format.
func (m *Metrics) Handler() http.Handler { return m.handler }

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
