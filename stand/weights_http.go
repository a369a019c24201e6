package stand

import (
	"context"
	"fmt"
	"net/http"

	"github.com/dghubble/sling"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// Handler returns the handler of the weight store. It responds to an order when
// its weights are loaded.
func (s *WeightStore) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var order wire.Order
		if !readJSON(w, r, &order) {
			return
		}
		if err := s.Fetch(r.Context(), order); err != nil {
			writeProblem(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		writeJSON(w, http.StatusOK, struct{}{})
	})
}

// WeightFetcher returns a FetchWeights function for engines, which loads weights
// from the weight store at the URL base.
func WeightFetcher(base string) func(ctx context.Context, order wire.Order) error {
	return func(ctx context.Context, order wire.Order) error {
		req, err := sling.New().Base(base).Post("/weights").BodyJSON(order).Request()
		if err != nil {
			return fmt.Errorf("build weight store request: %w", err)
		}
		resp, err := http.DefaultClient.Do(req.WithContext(ctx))
		if err != nil {
			return fmt.Errorf("fetch weights: %w", err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("fetch weights: weight store responded with status %d", resp.StatusCode)
		}
		return nil
	}
}
