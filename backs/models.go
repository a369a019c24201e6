package backs

import (
	"slices"
	"time"
)

// SetModels replaces the models of a server with a newer observation, made at the given
// time. An unchanged observation only renews its precedence over the server's entry.
func (v *View) SetModels(at time.Time, id string, models []LoadedModel) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.records[id]
	if r == nil || at.Before(r.modelsAt) {
		return
	}
	same := slices.EqualFunc(r.entry.Models, models, LoadedModel.equal)
	r.entry.Models, r.modelsAt, r.controllerAt = models, at, at
	if same {
		return
	}
	v.bumpRevision(r)
	v.notify()
}

// AddModel adds a model and adapter that the controller reports as loaded on a server.
func (v *View) AddModel(now time.Time, id, model, adapter string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.records[id]
	if r == nil || r.entry.HasModel(model, adapter) {
		return
	}
	added := []LoadedModel{{Model: model}}
	if adapter != "" {
		added[0].Adapters = []string{adapter}
	}
	models := slices.Clone(r.entry.Models)
	if !r.entry.HasModel(model, "") {
		models = append(models, LoadedModel{Model: model})
	}
	r.entry.Models, r.controllerAt = mergeAdapters(models, added), now
	v.bumpRevision(r)
	v.notify()
}

// RemoveModel removes an adapter, or a model when no adapter is named, that a server
// refused as not loaded. The next update from the store or the controller can add it again.
func (v *View) RemoveModel(id, model, adapter string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.records[id]
	if r == nil {
		return
	}
	var kept []LoadedModel
	for _, m := range r.entry.Models {
		if m.Model == model {
			if adapter == "" {
				continue
			}
			m.Adapters = slices.DeleteFunc(slices.Clone(m.Adapters), func(a string) bool { return a == adapter })
		}
		kept = append(kept, m)
	}
	r.entry.Models = kept
	v.notify()
}

// mergeControllerModels returns the models of an entry that the controller recently
// reported too, with the adapters of both lists. A server lists a model that it is
// unloading until the model's last request has ended. Without this filter, an entry written
// meanwhile made all VMs send requests for that model again, and the server refused them
// for two to four seconds.
func mergeControllerModels(listed, reported []LoadedModel) []LoadedModel {
	isReported := func(l LoadedModel) bool {
		return slices.ContainsFunc(reported, func(r LoadedModel) bool { return r.Model == l.Model })
	}
	return slices.DeleteFunc(mergeAdapters(listed, reported), func(l LoadedModel) bool { return !isReported(l) })
}

// mergeAdapters returns the listed models with the adapters of both lists.
func mergeAdapters(listed, reported []LoadedModel) []LoadedModel {
	merged := make([]LoadedModel, 0, len(listed))
	for _, l := range listed {
		l.Adapters = slices.Clone(l.Adapters)
		for _, r := range reported {
			if r.Model != l.Model {
				continue
			}
			for _, a := range r.Adapters {
				if !slices.Contains(l.Adapters, a) {
					l.Adapters = append(l.Adapters, a)
				}
			}
		}
		merged = append(merged, l)
	}
	return merged
}
