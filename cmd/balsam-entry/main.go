// Command balsam-entry is part of balsamstall.
package main

func main() {}
