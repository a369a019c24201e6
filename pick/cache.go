package pick

import "time"

// cache is what a server is believed to keep of prompts: the least recently
// used parts yield when the tokens exceed its room, as on the server.
type cache struct {
	parts  map[uint64]cached
	tokens int
}

type cached struct {
	tokens int
	used   time.Time
}

// hit returns how many tokens at the start of the prompt are kept.
func (c *cache) hit(w Work, chain []uint64) int {
	tokens := 0
	for i, key := range chain {
		if _, ok := c.parts[key]; !ok {
			break
		}
		tokens += w.Parts[i].Tokens
	}
	return tokens
}

// read notes that the server reads a prompt, with room tokens in all.
func (c *cache) read(now time.Time, w Work, chain []uint64, room int) {
	if c.parts == nil {
		c.parts = make(map[uint64]cached)
	}
	for i, key := range chain {
		if _, ok := c.parts[key]; !ok {
			c.tokens += w.Parts[i].Tokens
		}
		c.parts[key] = cached{tokens: w.Parts[i].Tokens, used: now}
	}
	for c.tokens > room && len(c.parts) > 0 {
		c.dropOldest()
	}
}

func (c *cache) dropOldest() {
	var oldest uint64
	var used time.Time
	for key, p := range c.parts {
		if used.IsZero() || p.used.Before(used) {
			oldest, used = key, p.used
		}
	}
	c.tokens -= c.parts[oldest].tokens
	delete(c.parts, oldest)
}
