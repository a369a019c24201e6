package pass

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hibiscuscart/hibiscuscart/backs"
	"github.com/hibiscuscart/hibiscuscart/conns"
	"github.com/hibiscuscart/hibiscuscart/httpx"
	"github.com/hibiscuscart/hibiscuscart/pause"
	"github.com/hibiscuscart/hibiscuscart/poison"
	"github.com/hibiscuscart/hibiscuscart/routes"
)

// A VM without a path to the servers sends a request to a proxy as it would send it to the server, with two
// headers more. The proxy sends it once, over a connection of its own, or refuses it. All decisions stay with
// the first VM: which server, whether and when again, quotas and budgets, so that each counts once. The proxy
// never uses a proxy itself.

// Headers between a VM and its proxy, and the scheme of headerProxyAuth.
const (
	// headerProxyServer is the ID of the server that the request is for.
	headerProxyServer = "Proxy-Server"
	headerProxyAuth   = "Proxy-Authorization"
	schemeBearer      = "Bearer "
	// headerProxyVersion is the software version that the server must have, in a request for a stream that may be
	// taken up.
	headerProxyVersion = "Proxy-Version"
	// headerProxyRefusal is in the response of a proxy that has not sent the request, with the reason.
	headerProxyRefusal = "Proxy-Refusal"
)

// Reasons of a proxy's refusal. The first two concern the server, the others the proxy.
const (
	refusalUnreachable = "server unreachable"
	refusalUnavailable = "server leaves, is at rest or is not known"
	refusalBusy        = "too many requests of other VMs"
	refusalNoPath      = "no path to the servers"
	refusalStopping    = "shutting down"
	refusalKey         = "wrong key"
	refusalBody        = "unreadable body"
)

// StoppingRefusal is the response of a proxy that stops to a request that it has not read.
const StoppingRefusal = "HTTP/1.1 503 Service Unavailable\r\n" + headerProxyRefusal + ": " + refusalStopping + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// IsProxied reports whether a request is one of another VM that this one is to send.
func IsProxied(r *http.Request) bool { return r.Header.Get(headerProxyServer) != "" }

// proxyHeaders returns the headers that a VM adds to a request for its proxy.
func (g *Gateway) proxyHeaders(c *call, server backs.Entry) string {
	headers := fmt.Sprintf("%s: %s\r\n%s: %s%s\r\n", headerProxyServer, server.ID, headerProxyAuth, schemeBearer, g.ProxyKey())
	if c.bindsServer() && server.SoftwareVersion != "" {
		headers += fmt.Sprintf("%s: %s\r\n", headerProxyVersion, server.SoftwareVersion)
	}
	return headers
}

// ServeProxied sends a request of another VM to the server that this VM has chosen, and passes the response
// on as it arrives.
func (g *Gateway) ServeProxied(w http.ResponseWriter, r *http.Request) {
	p := &proxied{w: w, r: r, reply: reply{g: g, forOtherVM: true, requestID: r.Header.Get(g.HeaderNames.AttemptID), server: r.Header.Get(headerProxyServer)}}
	key, _ := strings.CutPrefix(r.Header.Get(headerProxyAuth), schemeBearer)
	defer g.proxiedRunning.Add(-1)
	switch running := g.proxiedRunning.Add(1); {
	case g.AcceptsProxyKey == nil || !g.AcceptsProxyKey(key):
		p.refuse(refusalKey)
	case g.toldToStop():
		p.refuse(refusalStopping)
	case running > int64(g.MaxProxied):
		p.refuse(refusalBusy)
	case g.Paths.Lost():
		p.refuse(refusalNoPath)
	default:
		p.serve()
	}
}

// AwaitProxied waits until this VM sends no requests for others, or ctx ends.
func (g *Gateway) AwaitProxied(ctx context.Context) {
	for g.proxiedRunning.Load() > 0 && ctx.Err() == nil {
		pause.For(ctx, proxyPollInterval)
	}
}

// Proxied returns the number of requests that this VM sends for others.
func (g *Gateway) Proxied() int { return int(g.proxiedRunning.Load()) }

// proxied is a request of another VM.
type proxied struct {
	reply
	w           http.ResponseWriter
	r           *http.Request
	fingerprint poison.Fingerprint
	entry       backs.Entry
	// begunAt is when the response began, zero before.
	begunAt time.Time
}

// suspectParts returns the parts of the prompt that may have ended the server.
func (p *proxied) suspectParts() []poison.Part {
	if !p.begunAt.IsZero() && p.g.Now().Sub(p.begunAt) >= survivalTime {
		return nil
	}
	return sharedParts(p.g.HeaderNames.ParsePromptPrefix(p.r.Header.Get(p.g.HeaderNames.PromptPrefix)))
}

// refuse answers that the request was not sent.
func (p *proxied) refuse(reason string) {
	p.g.Meter.AddCounter("proxy.refused", 1)
	p.log("refused: " + reason)
	p.w.Header().Set(headerProxyRefusal, reason)
	http.Error(p.w, reason, http.StatusServiceUnavailable)
}

func (p *proxied) log(result string) {
	status, framing := 0, httpx.FramingUnknown
	if p.resp != nil {
		status, framing = p.resp.StatusCode, httpx.FramingOf(p.resp)
	}
	p.g.Log.Info().Str("request", p.requestID).
		Str("server", p.server).Str("software_version", p.entry.SoftwareVersion).
		Str("from", p.r.RemoteAddr).Int("status", status).Str("framing", framing.String()).
		Func(p.attribution.addTo).Str("result", result).Msg("request proxied")
}

func (p *proxied) serve() {
	g := p.g
	body, release, err := g.readBody(p.r, maxResponseBytes)
	switch {
	case errors.Is(err, errNoBodyRoom):
		p.refuse(refusalBusy)
		return
	case err != nil:
		p.refuse(refusalBody)
		return
	}
	defer release()
	p.fingerprint = poison.FingerprintOf(p.r, body)
	version := p.r.Header.Get(headerProxyVersion)
	var known bool
	if p.entry, known = g.Servers.Entry(p.server); !known || !g.Servers.MaySend(g.Now(), p.server) || version != "" && version != p.entry.SoftwareVersion {
		p.refuse(refusalUnavailable)
		return
	}
	ctx := p.r.Context()
	// Whether the request may be repeated is not known here, so that no connection is used that the server
	// may be about to close.
	p.conn, err = g.connect(ctx, g.Now(), p.entry, p.requestID, true)
	if err != nil {
		p.connectFailed(ctx, err)
		return
	}
	if version != "" {
		if err := g.checkInstance(p.conn, p.entry); err != nil {
			g.Pool.Discard(p.conn)
			p.refuse(refusalUnavailable)
			return
		}
	}
	p.sent, p.unproven = g.Now(), !p.conn.Proven()
	p.recordSend(p.sent)
	if callerDisconnected(p.r) || !g.Servers.MaySend(p.sent, p.server) {
		g.Pool.PutUnused(p.sent, p.conn)
		p.refuse(refusalUnavailable)
		return
	}
	stopClosing := context.AfterFunc(ctx, p.conn.Close)
	defer stopClosing()
	g.Meter.AddCounter("proxy.sent", 1)
	complete, err := p.exchangeOnce(body)
	// Another request may use the connection as soon as it is in the pool.
	open := stopClosing()
	if p.exchange == nil {
		g.Pool.Discard(p.conn)
	} else {
		now := g.Now()
		p.markCarried(now, p.sent.Add(requestTimeout(g.HeaderNames, p.r, routes.Route{})))
		p.exchange.Finish(now, g.Pool, p.resp, complete && open && p.reusable())
	}
	if err == nil {
		p.log("passed on")
		return
	}
	p.log(err.Error())
	if ctx.Err() == nil && conns.ConnectionLost(err) {
		g.recordConnectionLost(p.fingerprint, p.suspectParts(), p.entry)
	}
	// The other VM must not take what it got for a whole response.
	panic(http.ErrAbortHandler)
}

func (p *proxied) connectFailed(ctx context.Context, err error) {
	if ctx.Err() == nil {
		p.g.connectionFailed(p.server, err)
		p.g.Balancer.ConnectFailed(p.g.Now(), p.entry)
	}
	p.refuse(refusalUnreachable)
}

// exchangeOnce sends the request and passes the response on. It reports whether the response was complete.
func (p *proxied) exchangeOnce(body []byte) (complete bool, err error) {
	p.exchange, err = p.conn.Send(p.r.Method, p.requestHead(len(body)), body)
	if err != nil {
		return false, fmt.Errorf("send request: %w", err)
	}
	if err := p.readHead(); err != nil {
		return false, err
	}
	if p.g.provesNotRun(p.resp) {
		p.recordReject()
	}
	framing := httpx.FramingOf(p.resp)
	p.writeHead(framing)
	if err := p.copyBody(); err != nil {
		return false, err
	}
	if framing == httpx.FramedByClose {
		return true, httpx.CompleteByClose(p.r.Context(), p.w)
	}
	return true, nil
}

// requestHead returns the head of the request as the other VM wrote it, without the headers for this one.
func (p *proxied) requestHead(bodyBytes int) []byte {
	r := p.r
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Host)
	writeHeaders(&b, r.Header, func(name string) bool {
		return name == headerProxyServer || name == headerProxyVersion || name == headerLength
	})
	if r.ContentLength >= 0 && r.Header.Get(headerLength) != "" {
		fmt.Fprintf(&b, "%s: %d\r\n", headerLength, bodyBytes)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// writeHead writes the head of the response, framed as the server framed it.
func (p *proxied) writeHead(framing httpx.Framing) {
	options := connectionOptions(p.resp.Header)
	for name, values := range p.resp.Header {
		if !isHopByHop(name, options) && name != headerProxyRefusal {
			p.w.Header()[name] = values
		}
	}
	if p.requestID != "" {
		// A refusal may not name its request, and the other VM can not know what else has arrived from the server.
		p.w.Header().Set(p.g.HeaderNames.AttemptID, p.requestID)
	}
	if framing == httpx.FramedByClose {
		httpx.BeginByClose(p.r.Context(), p.w.Header())
	}
	p.w.WriteHeader(p.resp.StatusCode)
}

// copyBody passes the body on as it arrives.
func (p *proxied) copyBody() error {
	controller := http.NewResponseController(p.w)
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := p.resp.Body.Read(buffer)
		if n > 0 {
			if p.begunAt.IsZero() {
				p.begunAt = p.g.Now()
			}
			p.recordPath()
			if _, err := p.w.Write(buffer[:n]); err != nil {
				return fmt.Errorf("write response: %w", err)
			}
			if err := controller.Flush(); err != nil {
				return fmt.Errorf("write response: %w", err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read response: %w", err)
		}
	}
}

// writeHeaders writes headers to the head of a request, without the hop-by-hop headers and those for which
// drop returns true.
func writeHeaders(b *bytes.Buffer, headers http.Header, drop func(name string) bool) {
	options := connectionOptions(headers)
	for name, values := range headers {
		if isHopByHop(name, options) || drop(name) {
			continue
		}
		for _, v := range values {
			fmt.Fprintf(b, "%s: %s\r\n", name, v)
		}
	}
}
