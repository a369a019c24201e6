package entry

import (
	"context"
	"net/http"
	"sort"
	"strings"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/hibiscuscart/hibiscuscart"
)

const anonymousCaller = "anonymous"

// callerHandler serves the HTTP interfaces for callers.
func (d *Daemon) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", d.completionHandler(hibiscuscart.KindCompletion))
	mux.HandleFunc("POST /v1/chat/completions", d.completionHandler(hibiscuscart.KindChat))
	mux.HandleFunc("GET /v1/models", d.listModels)
	mux.HandleFunc("/services/{profile}/{path...}", d.handleService)
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", d.readyz)
	return mux
}

func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// authenticate returns the caller's name for the key of a request.
func (d *Daemon) authenticate(r *http.Request) (string, error) {
	if len(d.config.CallersByKey) == 0 {
		return anonymousCaller, nil
	}
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	name, ok := d.config.CallersByKey[key]
	if !ok {
		d.meter.AddCounter("caller.wrong_key", 1)
		return "", hibiscuscart.Fail(hibiscuscart.CauseUnauthorized, "the key is not that of a caller").WithField("Authorization")
	}
	return name, nil
}

func (d *Daemon) completionHandler(kind hibiscuscart.RequestKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		d.serveRequest(w, r, func(body []byte) (*hibiscuscart.Request, error) {
			return parseCompletion(body, r.Header, kind, d.config.Limits)
		})
	}
}

func (d *Daemon) handleService(w http.ResponseWriter, r *http.Request) {
	d.serveRequest(w, r, func(body []byte) (*hibiscuscart.Request, error) { return parseServiceCall(r, body) })
}

// serveRequest parses a request, runs it through the pipeline and writes the
// response.
func (d *Daemon) serveRequest(w http.ResponseWriter, r *http.Request, parse func([]byte) (*hibiscuscart.Request, error)) {
	arrived := d.now()
	req, err := d.readRequest(w, r, parse)
	if err != nil {
		f := hibiscuscart.AsFailure(err)
		d.meter.AddCounter("request.refused."+f.Cause().String(), 1)
		d.log.Info().Err(err).Str("outcome", f.Outcome().String()).Msg("request refused")
		writeFailure(w, f, "")
		return
	}
	req.ArrivedAt = arrived
	out := newResponseWriter(r.Context(), w, req, d.config.Limits.WriteTimeout)
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	if err := d.HandleRequest(ctx, req, out.sink()); err != nil {
		out.writeFailure(hibiscuscart.AsFailure(err))
	}
}

// HandleRequest runs a parsed request through the pipeline.
func (d *Daemon) HandleRequest(ctx context.Context, req *hibiscuscart.Request, sink Sink) error {
	return d.pipeline(ctx, &Exchange{request: req, sink: sink})
}

func (d *Daemon) readRequest(w http.ResponseWriter, r *http.Request, parse func([]byte) (*hibiscuscart.Request, error)) (*hibiscuscart.Request, error) {
	if d.refusing.Load() {
		return nil, hibiscuscart.Fail(hibiscuscart.CauseStopping, "this VM is stopping; another will answer").WithRetryAfter(minRetryAfter)
	}
	caller, err := d.authenticate(r)
	if err != nil {
		return nil, err
	}
	body, err := readBody(w, r, d.config.Limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	req, err := parse(body)
	if err != nil {
		return nil, err
	}
	req.Caller = caller
	return req, nil
}

// modelObject is one entry of the model list.
type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (d *Daemon) listModels(w http.ResponseWriter, r *http.Request) {
	if _, err := d.authenticate(r); err != nil {
		writeFailure(w, hibiscuscart.AsFailure(err), "")
		return
	}
	list := []modelObject{}
	for _, p := range d.profiles.All() {
		if p.Retired() {
			continue
		}
		for _, m := range p.Models() {
			id := p.Name() + "/" + m.Name
			list = append(list, modelObject{ID: id, Object: "model", OwnedBy: p.Name()})
			for _, a := range m.Adapters {
				list = append(list, modelObject{ID: id + ":" + a.Name, Object: "model", OwnedBy: p.Name()})
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	writeJSON(w, map[string]any{"object": "list", "data": list})
}
