namespace catkinford {}
