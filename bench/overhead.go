package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hibiscuscart/hibiscuscart"
	"github.com/hibiscuscart/hibiscuscart/demo"
	"github.com/hibiscuscart/hibiscuscart/engine"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// overheadFigures compare a call through the gateway with a direct call.
type overheadFigures struct {
	Common
	DirectP50  float64 `json:"direct_p50_ms"`
	DirectP99  float64 `json:"direct_p99_ms"`
	GatewayP50 float64 `json:"gateway_p50_ms"`
	GatewayP99 float64 `json:"gateway_p99_ms"`
	AddedP50   float64 `json:"added_p50_ms"`
	AddedP99   float64 `json:"added_p99_ms"`
	// The processor times are those of the whole process: stand-in, gateway
	// and caller; their difference is the gateway and one more hop.
	DirectCPU  float64 `json:"direct_cpu_us_per_token"`
	GatewayCPU float64 `json:"gateway_cpu_us_per_token"`
	AddedCPU   float64 `json:"added_cpu_us_per_token"`
}

const (
	overheadTokens = 8
	overheadWarmUp = 200
	overheadLeast  = 300
)

// overhead calls one engine directly and through one VM in turn, one call at a
// time, so that neither waits for anything but the path.
func overhead(ctx context.Context, o Options) (Figures, error) {
	s := shape{domains: 1, vmsPerDomain: 1, engines: 1, slots: 64, first: time.Millisecond, between: 100 * time.Microsecond}
	w, err := s.start(ctx, o, []wire.Profile{engineProfile("draft", 1, 3)}, nil)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	for _, doc := range w.Servers() {
		e := w.Engine(doc.Name)
		e.FirstToken, e.BetweenTokens = time.Microsecond, time.Microsecond
	}
	direct, gateway := newMicros(), newMicros()
	c := &caller{w: w, engines: engine.New()}
	f := overheadFigures{Common: Common{Experiment: "overhead", Seed: o.Seed}}
	deadline := time.Now().Add(o.length(5 * time.Second))
	for n := 0; n < overheadLeast || time.Now().Before(deadline); n++ {
		d, g, err := c.pair(ctx, n)
		if err != nil {
			return nil, err
		}
		if n < overheadWarmUp {
			continue
		}
		_ = direct.RecordValue(d.Microseconds())
		_ = gateway.RecordValue(g.Microseconds())
		f.Requests += 2
	}
	f.DirectP50, f.DirectP99 = quantileMs(direct, 50), quantileMs(direct, 99)
	f.GatewayP50, f.GatewayP99 = quantileMs(gateway, 50), quantileMs(gateway, 99)
	f.AddedP50, f.AddedP99 = f.GatewayP50-f.DirectP50, f.GatewayP99-f.DirectP99
	if err := c.measureTokens(ctx, &f); err != nil {
		return nil, err
	}
	return f, nil
}

const (
	longAnswers = 200
	longTokens  = 200
)

// measureTokens takes the processor time of long answers.
func (c *caller) measureTokens(ctx context.Context, f *overheadFigures) error {
	var tokens int
	began := cpuTime()
	for n := range longAnswers {
		count, err := c.direct(ctx, fmt.Sprint("long ", n), longTokens)
		if err != nil {
			return err
		}
		tokens += count
	}
	f.DirectCPU = float64((cpuTime() - began).Microseconds()) / float64(tokens)
	began = cpuTime()
	for n := range longAnswers {
		if err := c.gateway(ctx, fmt.Sprint("long ", n), longTokens); err != nil {
			return err
		}
	}
	f.GatewayCPU = float64((cpuTime() - began).Microseconds()) / float64(tokens)
	f.AddedCPU = f.GatewayCPU - f.DirectCPU
	return nil
}

func newMicros() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

func quantileMs(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// caller makes the two kinds of call.
type caller struct {
	w       *demo.Deployment
	engines *engine.Client
	calls   int
}

// pair makes a direct call and one through the gateway.
func (c *caller) pair(ctx context.Context, n int) (direct, gateway time.Duration, err error) {
	prompt := fmt.Sprint("menu ", n)
	began := time.Now()
	if _, err := c.direct(ctx, prompt, overheadTokens); err != nil {
		return 0, 0, err
	}
	direct = time.Since(began)
	began = time.Now()
	if err := c.gateway(ctx, prompt, overheadTokens); err != nil {
		return 0, 0, err
	}
	return direct, time.Since(began), nil
}

// direct calls the engine and returns how many tokens came.
func (c *caller) direct(ctx context.Context, prompt string, tokens int) (int, error) {
	c.calls++
	count := 0
	err := c.engines.Generate(ctx, c.w.Servers()[0].Address, fmt.Sprint("direct-", c.calls),
		engine.Generation{Model: "draft-1", Prompt: prompt, MaxTokens: tokens},
		func(hibiscuscart.Frame) error {
			count++
			return nil
		})
	if err != nil {
		return 0, fmt.Errorf("direct call: %w", err)
	}
	return count, nil
}

// gateway makes a call through the VM and checks that the answer is whole.
func (c *caller) gateway(ctx context.Context, prompt string, tokens int) error {
	body := fmt.Sprintf(`{"model":"draft/draft-1","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.w.ReadyAddresses()[0]+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("call through the gateway: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if !strings.HasSuffix(string(text), "[DONE]\n\n") {
		return fmt.Errorf("answer through the gateway is not whole: %.200s", text)
	}
	return nil
}
