package platform

import (
	"io"
	"net/http"

	"github.com/balsamstall/balsamstall/internal/standin/tracked"
	"github.com/balsamstall/balsamstall/protocol/platformapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

// Paths of the control interface.
const (
	// ControlConfigPath is followed by the key (PUT).
	ControlConfigPath = "/control/config/"
	// ControlHostsPath takes a PUT with a platformapi.HostList.
	ControlHostsPath = "/control/hosts"
	// FaultsPath takes a POST with a Command.
	FaultsPath = "/control/faults"
	// CallsPath answers a GET with the Calls. A DELETE resets them.
	CallsPath = "/control/calls"
)

// PublishReply is the body of the reply to PUT /control/config/{key}.
type PublishReply struct {
	Version uint64 `json:"version"`
}

// controlHandler serves the control interface, which faults and the rate limit do not affect.
func (p *Platform) controlHandler() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+ControlConfigPath+"{key}", p.putConfig)
	mux.HandleFunc("PUT "+ControlHostsPath, p.putHosts)
	mux.HandleFunc("POST "+FaultsPath, p.postFault)
	mux.HandleFunc("GET "+CallsPath, p.getCalls)
	mux.HandleFunc("DELETE "+CallsPath, p.deleteCalls)
	return mux
}

func (p *Platform) putConfig(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes+1))
	if err != nil {
		sendError(w, status.Wrap(err, status.TooLarge, "", "the value cannot be read"))
		return
	}
	version, err := p.Publish(r.PathValue("key"), value)
	if err != nil {
		sendError(w, status.From(err))
		return
	}
	sendJSON(w, http.StatusOK, PublishReply{Version: version})
}

func (p *Platform) putHosts(w http.ResponseWriter, r *http.Request) {
	var list platformapi.HostList
	if statusErr := decode(w, r, &list); statusErr != nil {
		sendError(w, statusErr)
		return
	}
	p.SetHosts(list.Hosts)
	sendJSON(w, http.StatusOK, list)
}

func (p *Platform) postFault(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	var cmd Command
	if statusErr := decode(w, r, &cmd); statusErr != nil {
		sendError(w, statusErr)
		return
	}
	if err := cmd.check(); err != nil {
		sendError(w, status.From(err))
		return
	}
	if cmd.Mode == ModeRefuse && cmd.DurationMS == 0 && p.controlAddress == "" {
		sendError(w, status.New(status.InvalidArgument, "",
			"mode refuse needs a duration_ms or a control_address in the settings, else no command can end it"))
		return
	}
	p.apply(cmd, tracked.FromRequest(r))
	sendJSON(w, http.StatusOK, cmd)
}

func (p *Platform) getCalls(w http.ResponseWriter, _ *http.Request) {
	sendJSON(w, http.StatusOK, p.Calls())
}

func (p *Platform) deleteCalls(w http.ResponseWriter, _ *http.Request) {
	p.ResetCalls()
	w.WriteHeader(http.StatusNoContent)
}
