package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/engine"
	"github.com/arbutuswinch/winch/serving/service"
)

const benchTokens = 1000

// memoryEngine answers every call with the same stream from memory.
type memoryEngine struct {
	winch.Engines
	body string
}

func (e *memoryEngine) Send(context.Context, winch.Endpoint, winch.Call) (*winch.Reply, error) {
	return &winch.Reply{Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(e.body))}, nil
}

type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header              { return d.header }
func (d *discardWriter) Write(p []byte) (int, error)      { return len(p), nil }
func (d *discardWriter) WriteHeader(int)                  {}
func (d *discardWriter) Flush()                           {}
func (d *discardWriter) SetWriteDeadline(time.Time) error { return nil }
func (d *discardWriter) SetReadDeadline(time.Time) error  { return nil }

func benchServer(b *testing.B, engines winch.Engines, endpoint winch.Endpoint) *Server {
	b.Helper()
	server, err := New(Options{
		Configurations: newFakeConfigurations(), Dispatcher: &grantingDispatcher{endpoint: endpoint}, Usage: &fakeUsage{},
		Engines: engines, Services: service.New(service.Options{}), Clock: wallClock{},
		Logger: hclog.New(&hclog.LoggerOptions{Output: io.Discard, JSONFormat: true}), Meter: noop.Meter{},
		Limits: Limits{ReadinessDelay: time.Millisecond},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = server.Drain(context.Background()) })
	return server
}

// grantingDispatcher grants a slot of its endpoint at once.
type grantingDispatcher struct{ endpoint winch.Endpoint }

func (d *grantingDispatcher) Acquire(context.Context, time.Time, winch.Work) (winch.Slot, error) {
	return &fakeSlot{endpoint: d.endpoint}, nil
}
func (d *grantingDispatcher) Retry(time.Time, winch.Work) bool { return false }

func benchStream(id string) string {
	out := strings.Builder{}
	for word := range benchTokens {
		fmt.Fprintf(&out, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"small\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w%d \"},\"finish_reason\":null}]}\n\n", id, word)
	}
	out.WriteString("data: [DONE]\n\n")
	return out.String()
}

func benchRequest(target string) *http.Request {
	request, _ := http.NewRequest(http.MethodPost, target+"/v1/chat/completions", strings.NewReader(chatBody))
	request.Header.Set("Authorization", "Bearer "+testSecret)
	request.Header.Set("X-Request-Id", "r")
	return request
}

// BenchmarkRelay relays streams from memory to a writer that discards them; results are per
// token.
func BenchmarkRelay(b *testing.B) {
	engines := &memoryEngine{Engines: engine.New(engine.Options{}), body: benchStream("r")}
	handler := benchServer(b, engines, winch.Endpoint{ID: "e"}).Handler()
	b.ReportAllocs()
	b.ResetTimer()
	for count := 0; count < b.N; count += benchTokens {
		handler.ServeHTTP(&discardWriter{header: http.Header{}}, benchRequest("http://host"))
	}
}

// BenchmarkRequest serves streams of one token; results are per request.
func BenchmarkRequest(b *testing.B) {
	body := benchStream("r")
	short := body[:strings.Index(body, "\n\n")+2] + "data: [DONE]\n\n"
	engines := &memoryEngine{Engines: engine.New(engine.Options{}), body: short}
	handler := benchServer(b, engines, winch.Endpoint{ID: "e"}).Handler()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		handler.ServeHTTP(&discardWriter{header: http.Header{}}, benchRequest("http://host"))
	}
}

// BenchmarkLoopback streams over TCP to 64 concurrent callers; the engine writes each token
// separately. Results are per token and include the work of callers and engine.
func BenchmarkLoopback(b *testing.B) {
	events := strings.SplitAfter(benchStream("r"), "\n\n")
	engineServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		control := http.NewResponseController(w)
		for _, event := range events {
			_, _ = io.WriteString(w, event)
			_ = control.Flush()
		}
	}))
	defer engineServer.Close()
	endpoint := winch.Endpoint{ID: "e", Address: strings.TrimPrefix(engineServer.URL, "http://")}
	httpServer := httptest.NewServer(benchServer(b, engine.New(engine.Options{}), endpoint).Handler())
	defer httpServer.Close()
	b.ResetTimer()
	group, callers := sync.WaitGroup{}, make(chan struct{}, 64)
	for count := 0; count < b.N; count += benchTokens {
		callers <- struct{}{}
		group.Go(func() {
			defer func() { <-callers }()
			response, err := httpServer.Client().Do(benchRequest(httpServer.URL))
			if err != nil {
				b.Error(err)
				return
			}
			defer response.Body.Close()
			_, _ = io.Copy(io.Discard, response.Body)
		})
	}
	group.Wait()
}
