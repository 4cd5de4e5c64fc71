"""What stands between the decisions and the protocols: the seam that intakes and deliveries meet."""
