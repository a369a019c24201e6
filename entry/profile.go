package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/profs"
	"github.com/hibiscuscart/hibiscuscart/spans"
)

// profileStage resolves the profile, validates the request against it and sets
// the deadline.
type profileStage struct {
	view         *profs.View
	offeredLoads *offeredLoads
}

func (s *profileStage) run(ctx context.Context, x *Exchange, next Next) error {
	_, span := spans.Start(ctx, "profile")
	err := s.resolveProfile(x)
	spans.End(span, err)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	if x.modelName != "" {
		s.offeredLoads.recordArrival(x.request.ArrivedAt, x.modelName)
	}
	return next(ctx, x)
}

func (s *profileStage) resolveProfile(x *Exchange) error {
	req := x.request
	p, ok := s.view.Get(req.Profile)
	if !ok {
		return hibiscuscart.Fail(hibiscuscart.CauseNoProfile, "there is no profile %q", req.Profile).WithField("model")
	}
	if p.Retired() {
		return hibiscuscart.Fail(hibiscuscart.CauseProfileRetired, "the profile %q is retired", req.Profile).WithField("model")
	}
	x.profile = p
	x.deadline = req.ArrivedAt.Add(p.ResponseTimeout())
	if p.IsService() != (req.Kind == hibiscuscart.KindPassThrough) {
		return badInput("model", "the profile %q is not served through this interface", req.Profile)
	}
	if err := checkModel(x); err != nil {
		return err
	}
	if p.AtMostOnce() && req.IdempotencyKey == "" && !isReadOnly(req) {
		return badInput(HeaderIdempotencyKey, "the profile %q runs a request at most once and needs this header", req.Profile)
	}
	return nil
}

// isReadOnly reports whether a call only reads (RFC 9110, section 9.2.1).
func isReadOnly(req *hibiscuscart.Request) bool {
	return req.Kind == hibiscuscart.KindPassThrough && (req.Method == http.MethodGet || req.Method == http.MethodHead)
}

// checkModel selects the model, which defaults to the only one of the profile,
// and validates the adapter and the number of tokens.
func checkModel(x *Exchange) error {
	if x.profile.IsService() {
		return nil
	}
	name := x.request.Model
	models := x.profile.Models()
	if name == "" && len(models) == 1 {
		name = models[0].Name
	}
	m, ok := x.profile.Model(name)
	if !ok {
		return hibiscuscart.Fail(hibiscuscart.CauseNoProfile, "the profile %q has no model %q", x.request.Profile, name).WithField("model")
	}
	x.modelName = name
	if n := x.request.MaxTokens; n > x.profile.MaxTokens() {
		return badInput("max_tokens", "%d is more than the profile's %d", n, x.profile.MaxTokens())
	}
	if x.request.Adapter == "" {
		return nil
	}
	for _, a := range m.Adapters {
		if a.Name == x.request.Adapter {
			return nil
		}
	}
	return hibiscuscart.Fail(hibiscuscart.CauseNoProfile, "the model %q has no adapter %q", name, x.request.Adapter).WithField("model")
}

// maxTokens returns the maximum number of tokens in the response.
func (x *Exchange) maxTokens() int {
	if x.request.MaxTokens > 0 {
		return x.request.MaxTokens
	}
	return x.profile.MaxTokens()
}

// expired reports whether the deadline has passed by the monotonic or the wall
// clock. Only the wall clock advances while a VM is suspended.
func (x *Exchange) expired(now time.Time) bool {
	return !now.Before(x.deadline) || !now.Round(0).Before(x.deadline.Round(0))
}
