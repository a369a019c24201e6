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

// overheadReport compares calls through the gateway with direct calls.
type overheadReport struct {
	CommonReport
	DirectP50Ms  float64 `json:"direct_p50_ms"`
	DirectP99Ms  float64 `json:"direct_p99_ms"`
	GatewayP50Ms float64 `json:"gateway_p50_ms"`
	GatewayP99Ms float64 `json:"gateway_p99_ms"`
	AddedP50Ms   float64 `json:"added_p50_ms"`
	AddedP99Ms   float64 `json:"added_p99_ms"`
	// The CPU times are those of the whole process: engine stand-in, gateway and
	// caller. The difference is the cost of the gateway and one more hop.
	DirectCPUMicrosPerToken  float64 `json:"direct_cpu_us_per_token"`
	GatewayCPUMicrosPerToken float64 `json:"gateway_cpu_us_per_token"`
	AddedCPUMicrosPerToken   float64 `json:"added_cpu_us_per_token"`
}

const (
	overheadTokens      = 8
	overheadWarmUpPairs = 200
	overheadMinPairs    = 300
)

// overhead calls one engine directly and through one VM in turn. It makes one call
// at a time, so that no call queues behind another.
func overhead(ctx context.Context, o Options) (Report, error) {
	spec := deploymentSpec{domains: 1, vmsPerDomain: 1, engines: 1, slots: 64, firstToken: time.Millisecond, betweenTokens: 100 * time.Microsecond}
	deployment, err := spec.start(ctx, o, []wire.Profile{engineProfile("draft", 1, 3)}, nil)
	if err != nil {
		return nil, err
	}
	defer deployment.Close()
	for _, doc := range deployment.Servers() {
		e := deployment.Engine(doc.Name)
		e.FirstTokenDelay, e.TokenInterval = time.Microsecond, time.Microsecond
	}
	direct, gateway := newMicrosecondHistogram(), newMicrosecondHistogram()
	client := &overheadClient{deployment: deployment, engines: engine.New()}
	report := overheadReport{CommonReport: CommonReport{Experiment: "overhead", Seed: o.Seed}}
	deadline := time.Now().Add(o.duration(5 * time.Second))
	for n := 0; n < overheadMinPairs || time.Now().Before(deadline); n++ {
		directTook, gatewayTook, err := client.measurePair(ctx, n)
		if err != nil {
			return nil, err
		}
		if n < overheadWarmUpPairs {
			continue
		}
		_ = direct.RecordValue(directTook.Microseconds())
		_ = gateway.RecordValue(gatewayTook.Microseconds())
		report.Requests += 2
	}
	report.DirectP50Ms, report.DirectP99Ms = quantileMs(direct, 50), quantileMs(direct, 99)
	report.GatewayP50Ms, report.GatewayP99Ms = quantileMs(gateway, 50), quantileMs(gateway, 99)
	report.AddedP50Ms, report.AddedP99Ms = report.GatewayP50Ms-report.DirectP50Ms, report.GatewayP99Ms-report.DirectP99Ms
	if err := client.measureCPU(ctx, &report); err != nil {
		return nil, err
	}
	return report, nil
}

const (
	longResponses = 200
	longTokens    = 200
)

// measureCPU measures the CPU time per token of long responses.
func (c *overheadClient) measureCPU(ctx context.Context, report *overheadReport) error {
	var tokens int
	start := cpuTime()
	for n := range longResponses {
		count, err := c.callDirect(ctx, fmt.Sprint("long ", n), longTokens)
		if err != nil {
			return err
		}
		tokens += count
	}
	report.DirectCPUMicrosPerToken = float64((cpuTime() - start).Microseconds()) / float64(tokens)
	start = cpuTime()
	for n := range longResponses {
		if err := c.callGateway(ctx, fmt.Sprint("long ", n), longTokens); err != nil {
			return err
		}
	}
	report.GatewayCPUMicrosPerToken = float64((cpuTime() - start).Microseconds()) / float64(tokens)
	report.AddedCPUMicrosPerToken = report.GatewayCPUMicrosPerToken - report.DirectCPUMicrosPerToken
	return nil
}

func newMicrosecondHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

func quantileMs(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// overheadClient makes direct calls and calls through the gateway.
type overheadClient struct {
	deployment *demo.Deployment
	engines    *engine.Client
	callCount  int
}

// measurePair measures one direct call and one call through the gateway.
func (c *overheadClient) measurePair(ctx context.Context, n int) (direct, gateway time.Duration, err error) {
	prompt := fmt.Sprint("menu ", n)
	start := time.Now()
	if _, err := c.callDirect(ctx, prompt, overheadTokens); err != nil {
		return 0, 0, err
	}
	direct = time.Since(start)
	start = time.Now()
	if err := c.callGateway(ctx, prompt, overheadTokens); err != nil {
		return 0, 0, err
	}
	return direct, time.Since(start), nil
}

// callDirect calls the engine and returns the number of received tokens.
func (c *overheadClient) callDirect(ctx context.Context, prompt string, tokens int) (int, error) {
	c.callCount++
	count := 0
	err := c.engines.Generate(ctx, c.deployment.Servers()[0].Address, fmt.Sprint("direct-", c.callCount),
		engine.GenerateRequest{Model: "draft-1", Prompt: prompt, MaxTokens: tokens},
		func(hibiscuscart.Frame) error {
			count++
			return nil
		})
	if err != nil {
		return 0, fmt.Errorf("direct call: %w", err)
	}
	return count, nil
}

// callGateway makes a call through the VM and checks that the response is complete.
func (c *overheadClient) callGateway(ctx context.Context, prompt string, tokens int) error {
	body := fmt.Sprintf(`{"model":"draft/draft-1","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.deployment.ReadyAddresses()[0]+"/v1/completions", strings.NewReader(body))
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
		return fmt.Errorf("read response: %w", err)
	}
	if !strings.HasSuffix(string(text), "[DONE]\n\n") {
		return fmt.Errorf("incomplete response through the gateway: %.200s", text)
	}
	return nil
}
