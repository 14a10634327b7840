// Command balsam-ctl is part of balsamstall.
package main

func main() {}
