// Command cranberrybench measures cranberrystack against plain baselines.
package main

func main() {}
