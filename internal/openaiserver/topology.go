package openaiserver

// maxTopologyNames bounds the zones, and the cells, that a server numbers.
const maxTopologyNames = 1<<16 - 1

// topology numbers the zones and cells that a server was ever told of.
type topology struct {
	zones map[string]uint16
	cells map[string]uint16
}

// newTopology returns one that knows no names.
func newTopology() topology {
	return topology{zones: map[string]uint16{}, cells: map[string]uint16{}}
}

// zone returns a zone's number.
func (t *topology) zone(name string) uint16 { return numberOf(t.zones, name) }

// cell returns a cell's number.
func (t *topology) cell(zone, name string) uint16 { return numberOf(t.cells, zone+"/"+name) }

// numberOf returns the number of a name, which it keeps. Names above the bound share one: a worse
// choice of decode engine, no more.
func numberOf(numbers map[string]uint16, name string) uint16 {
	number, isKnown := numbers[name]
	if isKnown {
		return number
	}
	if len(numbers) >= maxTopologyNames {
		return maxTopologyNames
	}
	number = uint16(len(numbers))
	numbers[name] = number
	return number
}
