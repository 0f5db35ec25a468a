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

// Metrics holds the process's meter and the handler that shows it.
type Metrics struct {
	provider *sdkmetric.MeterProvider
	handler  http.Handler
}

// NewMetrics returns the process's meter.
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

// Handler shows the metrics as text.
func (m *Metrics) Handler() http.Handler { return m.handler }

// ObserveTraffic publishes the bytes that the process spends on control.
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
