package target

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/balsamstall/balsamstall/internal/standin/tracked"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Paths of the control interface.
const (
	// ControlPath takes a POST with a Command.
	ControlPath = "/control"
	// RecordPath answers a GET with a Record. A DELETE clears the record and the counters.
	RecordPath = "/control/record"
	// RecordsPath answers a GET with the Records of all targets in the process.
	RecordsPath = "/control/records"
	// CountersPath answers a GET with a CountersReply.
	CountersPath = "/control/counters"
)

// ErrorReply is the body of a control reply with a status of 400 or above.
type ErrorReply struct {
	Code    status.Code `json:"code"`
	Message string      `json:"message"`
}

// ControlReply is the body of the reply to POST /control.
type ControlReply struct {
	// Targets lists the ids of the targets that executed the command.
	Targets []string `json:"targets"`
}

// Records is the content of GET /control/records.
type Records struct {
	Records []Record `json:"records"`
}

// CountersReply is the content of GET /control/counters.
type CountersReply struct {
	Counters []Counters `json:"counters"`
}

// zonePrefix precedes the name of a zone whose targets a command selects.
const zonePrefix = "zone:"

// controlAPI serves the control interface of a group of targets.
type controlAPI struct {
	// self is the target whose listener received the command. It is nil on the listener that all
	// targets share.
	self       *Target
	allTargets func() []*Target
}

func (c controlAPI) register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+ControlPath, c.postCommand)
	mux.HandleFunc("GET "+RecordPath, c.getRecord)
	mux.HandleFunc("DELETE "+RecordPath, c.deleteRecord)
	mux.HandleFunc("GET "+RecordsPath, c.getRecords)
	mux.HandleFunc("GET "+CountersPath, c.getCounters)
}

// selectTargets returns the targets that id selects; see Command.Target.
func (c controlAPI) selectTargets(id string) ([]*Target, *status.Error) {
	switch {
	case id == "*":
		return c.allTargets(), nil
	case id == "" && c.self != nil:
		return []*Target{c.self}, nil
	case id == "":
		return nil, status.New(status.InvalidArgument, "", "a target id is needed here")
	}
	zone, byZone := strings.CutPrefix(id, zonePrefix)
	var selected []*Target
	for _, t := range c.allTargets() {
		if t.ID() == id || byZone && t.cfg.Zone == zone {
			selected = append(selected, t)
		}
	}
	if len(selected) == 0 {
		return nil, status.New(status.NotFound, "", "target %q is not in this process", id)
	}
	return selected, nil
}

func (c controlAPI) postCommand(w http.ResponseWriter, r *http.Request) {
	var cmd Command
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&cmd); err != nil {
		sendError(w, status.Wrap(err, status.InvalidArgument, "", "the body is not a command"))
		return
	}
	if err := cmd.check(); err != nil {
		sendError(w, status.From(err))
		return
	}
	targets, statusErr := c.selectTargets(cmd.Target)
	if statusErr != nil {
		sendError(w, statusErr)
		return
	}
	reply := ControlReply{}
	for _, t := range targets {
		t.apply(cmd, tracked.FromRequest(r))
		reply.Targets = append(reply.Targets, t.ID())
	}
	sendControl(w, http.StatusOK, reply)
}

func (c controlAPI) getRecord(w http.ResponseWriter, r *http.Request) {
	targets, statusErr := c.selectTargets(r.URL.Query().Get("target"))
	if statusErr == nil && len(targets) != 1 {
		statusErr = status.New(status.InvalidArgument, "", "use %s for several targets", RecordsPath)
	}
	if statusErr != nil {
		sendError(w, statusErr)
		return
	}
	sendControl(w, http.StatusOK, targets[0].Record())
}

func (c controlAPI) getRecords(w http.ResponseWriter, _ *http.Request) {
	reply := Records{Records: []Record{}}
	for _, t := range c.allTargets() {
		reply.Records = append(reply.Records, t.Record())
	}
	sendControl(w, http.StatusOK, reply)
}

func (c controlAPI) deleteRecord(w http.ResponseWriter, r *http.Request) {
	targets, statusErr := c.selectTargets(r.URL.Query().Get("target"))
	if statusErr != nil {
		sendError(w, statusErr)
		return
	}
	for _, t := range targets {
		t.ResetRecord()
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusNoContent)
}

func (c controlAPI) getCounters(w http.ResponseWriter, r *http.Request) {
	targets, statusErr := c.selectTargets(r.URL.Query().Get("target"))
	if statusErr != nil {
		sendError(w, statusErr)
		return
	}
	reply := CountersReply{}
	for _, t := range targets {
		reply.Counters = append(reply.Counters, t.Counters())
	}
	sendControl(w, http.StatusOK, reply)
}

func sendError(w http.ResponseWriter, err *status.Error) {
	sendControl(w, status.HTTPStatus(err.Code), ErrorReply{Code: err.Code, Message: err.Error()})
}

// sendControl replies and closes the connection, so that clients of the control interface do not hold
// connections that count towards the connection limit.
func sendControl(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Connection", "close")
	writeJSON(w, nil, code, value)
}
