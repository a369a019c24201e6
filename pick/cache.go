package pick

import "time"

// prefixCache is the predicted prefix cache of a server. Like the server, it evicts the
// least recently used parts when the tokens exceed its capacity.
type prefixCache struct {
	parts  map[uint64]cachedPart
	tokens int
}

type cachedPart struct {
	tokens   int
	lastUsed time.Time
}

// hitTokens returns the number of cached tokens at the start of the prompt.
func (c *prefixCache) hitTokens(w Work, keys []uint64) int {
	tokens := 0
	for i, key := range keys {
		if _, ok := c.parts[key]; !ok {
			break
		}
		tokens += w.PromptParts[i].Tokens
	}
	return tokens
}

// add records the prefill of a prompt; capacity is the size of the cache in tokens.
func (c *prefixCache) add(now time.Time, w Work, keys []uint64, capacity int) {
	if c.parts == nil {
		c.parts = make(map[uint64]cachedPart)
	}
	for i, key := range keys {
		if _, ok := c.parts[key]; !ok {
			c.tokens += w.PromptParts[i].Tokens
		}
		c.parts[key] = cachedPart{tokens: w.PromptParts[i].Tokens, lastUsed: now}
	}
	for c.tokens > capacity && len(c.parts) > 0 {
		c.evictOldest()
	}
}

func (c *prefixCache) evictOldest() {
	var oldest uint64
	var oldestUse time.Time
	for key, p := range c.parts {
		if oldestUse.IsZero() || p.lastUsed.Before(oldestUse) {
			oldest, oldestUse = key, p.lastUsed
		}
	}
	c.tokens -= c.parts[oldest].tokens
	delete(c.parts, oldest)
}
