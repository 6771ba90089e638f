package servermodel

import (
	"math"
	"slices"
)

// Bins of a histogram.
const (
	// binsPerOctave gives bins of 6%, so that the position within a bin is a small error beside those of the samples.
	binsPerOctave = 12
	// octaves is the range on each side of 1: more than the factor to which a server's speed is limited, on both sides of the prior.
	octaves  = 4
	binCount = 2 * octaves * binsPerOctave
)

// histogram holds the weights of positive ratios in logarithmic bins. Histograms of the same quantity can be added.
type histogram [binCount]float32

// binWeight is the weight of one bin; a list of them is a histogram with few samples.
type binWeight struct {
	bin    uint8
	weight float32
}

// binOf returns the bin of a ratio; those outside the range count in the first or last bin.
func binOf(ratio float64) uint8 {
	if !(ratio > 0) {
		return 0
	}
	return uint8(min(max(math.Floor((math.Log2(ratio)+octaves)*binsPerOctave), 0), binCount-1))
}

// ratioOf returns the ratio in the middle of a bin.
func ratioOf(bin int) float64 { return math.Exp2((float64(bin)+0.5)/binsPerOctave - octaves) }

func (h *histogram) add(ratio, weight float64) { h[binOf(ratio)] += float32(weight) }

func (h *histogram) scale(factor float64) {
	for bin := range h {
		h[bin] *= float32(factor)
	}
}

// addSparse adds a list of bins, with their weights scaled and the bins shifted; bins that leave the range count in the first or last one.
func (h *histogram) addSparse(list []binWeight, scale float64, shift int) {
	for _, each := range list {
		h[min(max(int(each.bin)+shift, 0), binCount-1)] += each.weight * float32(scale)
	}
}

// shift moves the weights by a number of bins.
func (h *histogram) shift(bins int) {
	if bins == 0 {
		return
	}
	var moved histogram
	moved.addSparse(h.sparse(binCount), 1, bins)
	*h = moved
}

func (h *histogram) total() float64 {
	sum := 0.0
	for _, weight := range h {
		sum += float64(weight)
	}
	return sum
}

// quantile returns the ratio below which a fraction of the weight lies, 1 without any weight.
func (h *histogram) quantile(fraction float64) float64 {
	remaining := fraction * h.total()
	for bin, weight := range h {
		if remaining -= float64(weight); weight > 0 && remaining <= 0 {
			position := float64(bin) + 1 + remaining/float64(weight)
			return math.Exp2(position/binsPerOctave - octaves)
		}
	}
	return 1
}

// sparse returns the bins with weight, at most limit of them: those with most weight, in no particular order.
func (h *histogram) sparse(limit int) []binWeight {
	var list []binWeight
	for bin, weight := range h {
		if weight > minBinWeight {
			list = append(list, binWeight{bin: uint8(bin), weight: weight})
		}
	}
	if len(list) > limit {
		slices.SortFunc(list, func(a, b binWeight) int {
			switch {
			case a.weight > b.weight:
				return -1
			case a.weight < b.weight:
				return 1
			default:
				return int(a.bin) - int(b.bin)
			}
		})
		list = list[:limit]
	}
	return list
}

func weightOf(list []binWeight) float64 {
	sum := 0.0
	for _, each := range list {
		sum += float64(each.weight)
	}
	return sum
}

// Encoding of weights as one byte: the logarithm in steps of an eighth of an octave.
const (
	weightSteps = 8
	// minBinWeight is the smallest weight that is encoded: a fraction of that of a pause beside a hundred others, which a busy engine has.
	minWeightLog = 10
	minBinWeight = 1.0 / (1 << minWeightLog)
	maxWeightLog = 24
)

func encodeWeight(weight float32) byte {
	code := math.Round((math.Log2(float64(weight)) + minWeightLog) * weightSteps)
	return byte(min(max(code, 0), maxWeightLog*weightSteps))
}

func decodeWeight(code byte) float32 { return decodedWeights[code] }

// decodedWeights holds the weights by code: decoding a report takes thousands of them.
var decodedWeights = func() (weights [256]float32) {
	for code := range weights {
		weights[code] = float32(math.Exp2(float64(code)/weightSteps - minWeightLog))
	}
	return weights
}()

// encodeBins returns pairs of bin and weight.
func encodeBins(list []binWeight) []byte {
	encoded := make([]byte, 0, 2*len(list))
	for _, each := range list {
		encoded = append(encoded, each.bin, encodeWeight(each.weight))
	}
	return encoded
}

// decodeBins is the reverse of encodeBins; the input has been checked.
func decodeBins(encoded []byte) []binWeight {
	list := make([]binWeight, 0, len(encoded)/2)
	for pair := range slices.Chunk(encoded, 2) {
		list = append(list, binWeight{bin: pair[0], weight: decodeWeight(pair[1])})
	}
	return list
}
