package daemon

import (
	"fmt"
	"net/http"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
)

// peerHandler returns the handler for other hosts.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/peer/exchange", d.membership.exchange.Handler())
	mux.Handle("/peer/digest", d.membership.exchange.Handler())
	mux.Handle("/peer/serve/", d.serving.server.PeerHandler())
	return httpjson.RequireSecret(d.settings.Peer.Secret, mux)
}

// operatorHandler returns the handler for operators, metrics and health checks.
func (d *Daemon) operatorHandler() http.Handler {
	operators := http.NewServeMux()
	operators.Handle("/operator/notes", d.release.operator.Handler())
	operators.Handle("/operator/notes/", d.release.operator.Handler())
	operators.Handle("/operator/keys", d.release.operator.Handler())
	operators.Handle("/operator/keys/", d.release.operator.Handler())
	operators.HandleFunc("GET /operator/hosts", d.serveHosts)
	operators.HandleFunc("GET /operator/endpoints", d.serveEndpoints)
	operators.HandleFunc("GET /operator/queues", d.serveQueues)
	operators.HandleFunc("GET /operator/usage", d.serveUsage)
	operators.HandleFunc("GET /operator/requests/{id}", d.serveRequest)

	mux := http.NewServeMux()
	mux.Handle("/metrics", d.metrics.Handler())
	mux.Handle("/metrics/runtime", d.metrics.RuntimeHandler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.Handle("/operator/", httpjson.RequireSecret(d.settings.Operator.Secret, operators))
	return mux
}

// serveReady responds with status 200 while the load balancer may send requests to this host.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.serving.server.Draining() {
		httpjson.WriteError(w, fmt.Errorf("stopping: %w", winch.ErrUnavailable))
		return
	}
	if d.release.distributor.Authority(d.clock.Now()) == winch.AuthorityNone {
		httpjson.WriteError(w, fmt.Errorf("no configuration yet: %w", winch.ErrUnavailable))
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Daemon) serveHosts(w http.ResponseWriter, _ *http.Request) {
	now := d.clock.Now()
	response := hostsWire{Self: string(d.settings.Host), Revision: int64(d.release.distributor.Current().Revision)}
	for _, centre := range d.membership.table.DataCentres() {
		hub, _ := d.membership.table.Hub(now, centre)
		for _, host := range d.membership.table.Hosts(now, centre) {
			response.Hosts = append(response.Hosts, encodeHost(host, host.ID == hub.ID))
		}
	}
	httpjson.Write(w, http.StatusOK, response)
}

func (d *Daemon) serveEndpoints(w http.ResponseWriter, _ *http.Request) {
	response, configuration := endpointsWire{}, d.release.distributor.Current()
	for _, endpoint := range configuration.Endpoints {
		response.Endpoints = append(response.Endpoints, encodeEndpoint(winch.EndpointStatus{Endpoint: endpoint, State: winch.EndpointReady}, configuration.Evacuations))
	}
	if d.placement.source != nil {
		for _, status := range d.placement.source.Endpoints() {
			response.Endpoints = append(response.Endpoints, encodeEndpoint(status, configuration.Evacuations))
		}
	}
	response.sort()
	httpjson.Write(w, http.StatusOK, response)
}

func (d *Daemon) serveQueues(w http.ResponseWriter, _ *http.Request) {
	response := queuesWire{}
	for _, queue := range d.dispatch.dispatcher.Queues(d.clock.Now()) {
		response.Queues = append(response.Queues, encodeQueue(queue))
	}
	httpjson.Write(w, http.StatusOK, response)
}

func (d *Daemon) serveRequest(w http.ResponseWriter, r *http.Request) {
	explanation, found := d.serving.server.Explain(winch.RequestID(r.PathValue("id")))
	if !found {
		httpjson.WriteError(w, fmt.Errorf("request %s at this host: %w", r.PathValue("id"), winch.ErrNotFound))
		return
	}
	httpjson.Write(w, http.StatusOK, encodeExplanation(explanation))
}
