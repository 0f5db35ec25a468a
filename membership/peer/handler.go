package peer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/httpjson"
)

const maxRequestBytes = 8 << 20

// Handler serves /peer/exchange and /peer/digest. It does not authenticate its callers; the server
// that mounts it must.
func (e *Exchange) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /peer/exchange", e.serveExchange)
	mux.HandleFunc("POST /peer/digest", e.serveDigest)
	return e.compactor.Handler(httpjson.ChargeBodies(e.options.Memory, mux))
}

func (e *Exchange) serveExchange(w http.ResponseWriter, r *http.Request) {
	call := exchangeCall{}
	if err := httpjson.Decode(w, r, maxRequestBytes, &call); err != nil {
		httpjson.WriteError(w, err)
		return
	}
	now := e.options.Clock.Now()
	from := decodeHost(call.From)
	if from.ID == "" || from.DataCentre != e.table.Self().DataCentre {
		httpjson.WriteError(w, fmt.Errorf("field From: not a host of this data centre: %w", winch.ErrInvalid))
		return
	}
	if err := call.validate(); err != nil {
		httpjson.WriteError(w, err)
		return
	}
	if call.Sections == nil && e.table.Grouped() {
		// A probe: the host reports to another one.
		e.table.RecordAlive(now, from, 0)
		httpjson.Write(w, http.StatusOK, e.hostsFor(now, call.Version))
		return
	}
	e.table.RecordCall(now, from)
	membersVersion := e.applyMembers(now, call)
	e.collectReports(now, from.ID, call.Sections)
	summary := e.buildSummary(now, from.ID, call.Version)
	summary.MembersVersion = membersVersion
	httpjson.Write(w, http.StatusOK, summary)
}

func (e *Exchange) collectReports(now time.Time, from winch.HostID, reports sections) {
	for _, section := range e.options.Sections {
		if report, found := reports[string(section.Name())]; found {
			e.logSectionError(section, section.Collect(now, from, report))
		}
	}
}

func (e *Exchange) buildSummary(now time.Time, to winch.HostID, version uint64) exchangeResponse {
	response := e.hostsFor(now, version)
	for _, section := range e.options.Sections {
		if summary := section.Summary(now, to); summary != nil {
			response.Sections[string(section.Name())] = json.RawMessage(summary)
		}
	}
	return response
}

// hostsFor returns a response without summaries, with the hosts if the receiver does not have their version.
func (e *Exchange) hostsFor(now time.Time, version uint64) exchangeResponse {
	hosts := e.allHosts(now)
	response := exchangeResponse{Hub: encodeHost(e.table.Self()), Version: hosts.version, Sections: sections{}}
	if hosts.version != version {
		response.Hosts = encodeHosts(hosts.hosts)
	}
	return response
}

func (e *Exchange) serveDigest(w http.ResponseWriter, r *http.Request) {
	message := digestMessage{}
	if err := httpjson.Decode(w, r, maxRequestBytes, &message); err != nil {
		httpjson.WriteError(w, err)
		return
	}
	from := decodeHost(message.From)
	if from.ID == "" || from.DataCentre == "" || from.DataCentre == e.table.Self().DataCentre {
		httpjson.WriteError(w, fmt.Errorf("field From: not a host of another data centre: %w", winch.ErrInvalid))
		return
	}
	now := e.options.Clock.Now()
	e.applyDigest(now, time.Time{}, message)
	httpjson.Write(w, http.StatusOK, e.buildDigest(now, from.DataCentre, message.Known))
}
