package directory

import (
	"github.com/radishhoist/radishhoist/internal/core/route"
	"github.com/radishhoist/radishhoist/record"
)

// Records is the compiled record set, the part of a Directory that changes
// only when an operator writes.
type Records struct {
	routes   *route.Table
	services []*Service
	teams    map[string]*record.Team
	stops    []*record.Stop
	maps     map[string]*ShardMap
	whole    bool
}

// Compile turns parsed records into their lookup form.
func Compile(all []*record.Record, whole bool) *Records {
	out := &Records{
		teams: make(map[string]*record.Team),
		maps:  make(map[string]*ShardMap),
		whole: whole,
	}
	var routes []*route.Route
	for _, r := range all {
		switch spec := r.Spec.(type) {
		case *record.Service:
			out.services = append(out.services, &Service{Name: r.Name, Version: r.Version, Record: spec})
		case *record.Route:
			routes = append(routes, &route.Route{Name: r.Name, Version: r.Version, Route: *spec})
		case *record.Team:
			out.teams[r.Name] = spec
		case *record.Stop:
			out.stops = append(out.stops, spec)
		case *record.ShardMap:
			out.maps[r.Name] = &ShardMap{Version: r.Version, ShardMap: spec}
		}
	}
	out.routes = route.NewTable(routes)
	return out
}
